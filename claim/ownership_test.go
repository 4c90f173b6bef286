package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a claim that is granted to another call while its holder, paused between claim and dispatch, may still
// dispatch. With a short expiry this happens.
func TestPausedHolder(t *testing.T) {
	tests := []struct {
		name      string
		disabled  mechanisms
		wantOther string // while the holder may still dispatch
	}{
		{
			name:      "claim kept",
			wantOther: "busy a",
		},
		{
			name: "short expiry",
			disabled: mechanisms{
				expiry: time.Minute,
			},
			wantOther: "granted",
		},
	}
	for _, test := range tests {
		runSimulated(t, test.name, func(t *testing.T, env *environment) {
			a, b := env.open("a", test.disabled), env.open("b", test.disabled)
			c := requireGranted(t, acquire(a, "k"))
			env.sleep(time.Until(c.DispatchDeadline()) - time.Second)
			assert.Equal(t, describe(acquire(b, "k")), test.wantOther)
		})
	}
}

// Guards against a holder that ends an expired claim that another entry holds now. Without version checks it overwrites
// the other claim.
func TestLapsedClaim(t *testing.T) {
	finish := func(c *Claim) { c.Finish(200, "", []byte("late")) }
	tests := []struct {
		name     string
		end      func(*Claim)
		disabled mechanisms
		want     string // at a third manager
	}{
		{
			name: "finish",
			end:  finish,
			want: "busy b",
		},
		{
			name: "release",
			end:  (*Claim).Release,
			want: "busy b",
		},
		{
			name:     "finish, version checks disabled",
			end:      finish,
			disabled: versionChecksDisabled,
			want:     "done 200 late omitted=false",
		},
		{
			name:     "release, version checks disabled",
			end:      (*Claim).Release,
			disabled: versionChecksDisabled,
			want:     "granted",
		},
	}
	for _, test := range tests {
		runSimulated(t, test.name, func(t *testing.T, env *environment) {
			a, b, d := env.open("a", test.disabled), env.open("b", mechanisms{}), env.open("d", mechanisms{})
			c := requireGranted(t, acquire(a, "k"))
			env.sleep(time.Until(c.DispatchDeadline()))
			assert.Equal(t, describe(acquire(b, "k")), "busy a", "the claim outlives the dispatch deadline")
			env.sleep(expiryMargin)
			requireGranted(t, acquire(b, "k"))
			test.end(c)
			env.sleep(time.Second)
			assert.Equal(t, describe(acquire(d, "k")), test.want)
		})
	}
}
