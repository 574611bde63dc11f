package webapp

import (
	"encoding/json"
	"net/http"
	"time"
)

// PlanHeader is the request header that holds a Plan as JSON.
const PlanHeader = "X-Plan"

// ObservedRequestHeader is the response header that holds an ObservedRequest as JSON.
const ObservedRequestHeader = "X-Got"

// Plan says how a request is to be responded to. The zero Plan is status 200 without a body.
type Plan struct {
	Status   int                 `json:"status,omitempty"` // 0 is 200
	Header   map[string][]string `json:"header,omitempty"`
	BodySize int                 `json:"body,omitempty"` // bytes

	// Pieces is the number of writes of the body, each flushed, so that the body is chunked; 0 is one write with a
	// Content-Length. PieceInterval is the time between two.
	Pieces        int           `json:"pieces,omitempty"`
	PieceInterval time.Duration `json:"gap,omitempty"`

	CloseDelimited bool              `json:"closed,omitempty"`  // the connection's end delimits the body
	Trailer        map[string]string `json:"trailer,omitempty"` // after a chunked body
	EarlyHints     int               `json:"hints,omitempty"`   // 103 responses before the final one
	BeforeBody     bool              `json:"early,omitempty"`   // respond before the request's body is read
	ResetAfter     int               `json:"break,omitempty"`   // reset the connection after these bytes of the body
	Delay          time.Duration     `json:"work,omitempty"`    // before the response
}

// JSON returns the plan as PlanHeader holds it.
func (p Plan) JSON() string {
	text, err := json.Marshal(p)
	if err != nil {
		panic(err) // numbers and strings always marshal
	}
	return string(text)
}

// PieceSizes returns the sizes of the body's pieces, in bytes. Each piece starts WriteBody's pattern anew.
func (p Plan) PieceSizes() []int {
	sizes := make([]int, max(1, p.Pieces))
	for i := range sizes {
		sizes[i] = p.BodySize / len(sizes)
	}
	sizes[0] += p.BodySize % len(sizes)
	return sizes
}

// ObservedRequest is a request as the application received it. The application returns it in ObservedRequestHeader,
// unless it responded before it read the body.
type ObservedRequest struct {
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    string // the text of its Digest
	Trailer http.Header
	Chunked bool
}
