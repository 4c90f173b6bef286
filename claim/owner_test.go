package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a claim that somebody else is granted while its holder, paused between claim and dispatch, may still
// dispatch. With claims that expire like a short lease, somebody is.
func TestPausedHolder(t *testing.T) {
	tests := []struct {
		name  string
		off   mechanisms
		other string // want while the holder may still dispatch
	}{
		{
			name:  "claim kept",
			other: "busy a",
		},
		{
			name: "short lease",
			off: mechanisms{
				expiry: time.Minute,
			},
			other: "granted",
		},
	}
	for _, test := range tests {
		simulateCase(t, test.name, func(t *testing.T, w *world) {
			a, b := w.open("a", test.off), w.open("b", test.off)
			c := mustGrant(t, take(a, "k"))
			w.sleep(time.Until(c.DispatchDeadline()) - time.Second)
			assert.Equal(t, name(take(b, "k")), test.other)
		})
	}
}

// Guards against a holder that ends a claim that has lapsed and that another entry holds now. Without the checks it
// overwrites the other claim.
func TestLapsedClaim(t *testing.T) {
	finish := func(c *Claim) { c.Finish(200, "", []byte("late")) }
	tests := []struct {
		name string
		end  func(*Claim)
		off  mechanisms
		want string // at a third ledger
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
			name: "finish, checks off",
			end:  finish,
			off:  checksOff,
			want: "done 200 late omitted=false",
		},
		{
			name: "release, checks off",
			end:  (*Claim).Release,
			off:  checksOff,
			want: "granted",
		},
	}
	for _, test := range tests {
		simulateCase(t, test.name, func(t *testing.T, w *world) {
			a, b, d := w.open("a", test.off), w.open("b", mechanisms{}), w.open("d", mechanisms{})
			c := mustGrant(t, take(a, "k"))
			w.sleep(time.Until(c.DispatchDeadline()))
			assert.Equal(t, name(take(b, "k")), "busy a", "the claim outlives the time to dispatch")
			w.sleep(expiryMargin)
			mustGrant(t, take(b, "k"))
			test.end(c)
			w.sleep(time.Second)
			assert.Equal(t, name(take(d, "k")), test.want)
		})
	}
}
