package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/user"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/entry"
)

// operatorTimeout is longer than an entry takes to decide on a change.
const operatorTimeout = 20 * time.Second

// operator talks to the control address of an entry.
type operator struct {
	entry string
	who   string
	id    string
	base  uint64
}

// register adds the flags that the commands for changes share.
func (o *operator) register(flags *flag.FlagSet) {
	flags.StringVar(&o.entry, "entry", "127.0.0.1:7201", "")
	flags.StringVar(&o.who, "who", currentUser(), "")
	flags.StringVar(&o.id, "id", "", "")
	flags.Uint64Var(&o.base, "base", 0, "")
}

// operatorFlags is the part of the usage texts that describes the shared flags.
const operatorFlags = `Flags:
  -entry IP:PORT   control address of any entry (127.0.0.1:7201)
  -who NAME        who asks, shown to other operators (the current user)
  -base VERSION    state that the change is based on, from "status" (the present one)
  -id ID           id of an earlier, undecided attempt of the same change
`

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

// change sends a change and prints its verdict.
func (o *operator) change(ctx context.Context, out io.Writer, method, path string, c entry.Change) error {
	if o.base == 0 {
		status, err := o.status(ctx)
		if err != nil {
			return err
		}
		o.base = status.BaseVersion
	}
	if o.id == "" {
		o.id = newID()
	}
	c.ID = o.id
	c.BaseVersion = o.base
	c.Author = o.who
	body, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encoding the change")
	}
	data, err := o.call(ctx, method, path, body)
	if err != nil {
		return errors.Wrapf(err, "undecided: run the command again with -id %s -base %d", o.id, o.base)
	}
	var v entry.ChangeResult
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Newf("entry answered: %s", strings.TrimSpace(string(data)))
	}
	return o.report(out, v)
}

func (o *operator) report(out io.Writer, v entry.ChangeResult) error {
	switch v.Result {
	case "accepted":
		fmt.Fprintf(out, "accepted as version %d\n", v.Version)
		if len(v.Unconfirmed) > 0 {
			fmt.Fprintf(out, "not yet confirmed by: %s\n", strings.Join(v.Unconfirmed, ", "))
		}
		return nil
	case "conflict":
		return errors.Newf("conflict: version %d by %s: %s", v.Version, v.Author, v.Summary)
	case "undecided":
		return errors.Newf("undecided: %s: -id %s -base %d", v.Reason, o.id, o.base)
	default:
		return errors.Newf("%s: %s", v.Result, v.Reason)
	}
}

func (o *operator) status(ctx context.Context) (*entry.Status, error) {
	data, err := o.call(ctx, http.MethodGet, "status", nil)
	if err != nil {
		return nil, err
	}
	var s entry.Status
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "reading the status")
	}
	return &s, nil
}

// call sends one request. The transport cannot repeat it, because its body cannot be read again and it has no idempotency
// header; the id of a change makes a repeat by the operator safe.
func (o *operator) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	address, err := netip.ParseAddrPort(o.entry)
	if err != nil {
		return nil, errors.Wrap(err, "control address")
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = io.MultiReader(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+"/skylarkbeam/"+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "calling the entry")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(err, "reading the answer")
	}
	return data, nil
}

func newID() string {
	b := make([]byte, 8)
	// Read never fails, see crypto/rand.
	rand.Read(b)
	return hex.EncodeToString(b)
}
