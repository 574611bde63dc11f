package http1

import (
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Exchange is what is told of a client's request that is over, to whoever keeps a record (Options.Record).
type Exchange struct {
	Arrived, Ended monotime.Micros
	Patience       monotime.Micros // how long its client waits
	Client, Route  string          // by their names
	Class          uint8
	Tenant         uint16
	Key, Object    string // as the client has them
	Retry          bool   // its client said that it is a repetition
	In             int64  // bytes of its body; -1 is not known
	Out            int64  // bytes of the answer's body that were held; -1 is not known

	Left   bool            // its client went before its answer, and what follows is not known
	Answer engine.Response // its Reply is not to be used any more
	Status int             // of HTTP, as the client got it
}

// taken begins what is told of a request, nil if nobody is.
func (f *Front) taken(c *conn, k *core.Call, route, key, object string, in int64) *Exchange {
	if f.o.Record == nil {
		return nil
	}
	return &Exchange{Arrived: k.ArrivedAt, Patience: k.Request.Deadline - k.ArrivedAt, Client: c.client.Name, Route: route, Class: k.Request.Class, Tenant: k.Request.Tenant,
		Key: key, Object: object, Retry: k.Request.Retry, In: in}
}

// over tells of a request of a class that is over.
func (f *Front) over(x *Exchange, class uint8, a *engine.Response, status int, out int64) {
	f.counts.settle(class, status)
	if x == nil {
		return
	}
	x.Ended, x.Status, x.Out = f.o.Clock.Now(), status, out
	if a != nil {
		x.Answer = *a
	} else {
		x.Left = true
	}
	f.o.Record(x)
}
