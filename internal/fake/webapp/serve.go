package webapp

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// resetDelay lets a client read what was sent before a reset, which discards unread bytes.
const resetDelay = 20 * time.Millisecond

// ServeHTTP responds to a request as its plan says.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.requestCount.Add(1)
	plan, err := a.planOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusTeapot)
		return
	}
	if rejects := a.rejection.Load(); rejects != nil && (*rejects)(r) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Id")
	if !plan.BeforeBody {
		if !a.readBody(w, r, id) {
			return
		}
	} else {
		a.notify(id, false)
	}
	if fault := a.fault.Load(); fault != nil && (*fault)(r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(plan.Delay)
	for name, values := range plan.Header {
		w.Header()[http.CanonicalHeaderKey(name)] = values
	}
	writeEarlyHints(w, plan.EarlyHints)
	if plan.Status == 0 {
		plan.Status = http.StatusOK
	}
	if plan.CloseDelimited || plan.ResetAfter > 0 {
		a.writeRaw(w, plan)
		return
	}
	writeResponse(w, r, plan)
}

// planOf returns a request's plan; a forced status replaces the plan's.
func (a *App) planOf(r *http.Request) (Plan, error) {
	var plan Plan
	if text := r.Header.Get(PlanHeader); text != "" {
		if err := json.Unmarshal([]byte(text), &plan); err != nil {
			return plan, err
		}
	}
	if status := int(a.forcedStatus.Load()); status != 0 {
		plan.Status = status
	}
	return plan, nil
}

// notify calls OnRequest.
func (a *App) notify(id string, complete bool) {
	if a.OnRequest != nil {
		a.OnRequest(id, complete)
	}
}

// readBody reads a request's body and describes the request in the response's header. It reports whether the body was
// complete.
func (a *App) readBody(w http.ResponseWriter, r *http.Request, id string) bool {
	var digest Digest
	if _, err := io.Copy(&digest, r.Body); err != nil {
		a.notify(id, false)
		return false
	}
	a.notify(id, true)
	observed := ObservedRequest{
		Method:  r.Method,
		URI:     r.RequestURI,
		Host:    r.Host,
		Header:  r.Header.Clone(),
		Body:    digest.String(),
		Trailer: r.Trailer,
		Chunked: len(r.TransferEncoding) > 0,
	}
	text, err := json.Marshal(observed)
	if err != nil {
		panic(err) // strings always marshal
	}
	w.Header().Set(ObservedRequestHeader, string(text))
	return true
}

func writeEarlyHints(w http.ResponseWriter, count int) {
	for range count {
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
	}
}

// writeResponse writes a response by net/http's own framing.
func writeResponse(w http.ResponseWriter, r *http.Request, plan Plan) {
	for name := range plan.Trailer {
		w.Header().Add("Trailer", name)
	}
	controller := http.NewResponseController(w)
	if plan.BeforeBody {
		if err := controller.EnableFullDuplex(); err != nil {
			panic(err) // net/http has it for HTTP/1.1
		}
	}
	mayHaveBody := plan.Status != http.StatusNoContent && plan.Status != http.StatusNotModified
	if plan.Pieces == 0 && len(plan.Trailer) == 0 && mayHaveBody {
		w.Header().Set("Content-Length", fmt.Sprint(plan.BodySize))
	}
	w.WriteHeader(plan.Status)
	if r.Method != http.MethodHead && mayHaveBody {
		if err := writePieces(w, controller, plan); err != nil {
			return
		}
	}
	for name, value := range plan.Trailer {
		w.Header().Set(name, value)
	}
	if plan.BeforeBody {
		controller.Flush()
		_, _ = io.Copy(io.Discard, r.Body) // the response is sent whatever becomes of the request
	}
}

// writePieces writes the body in the plan's pieces.
func writePieces(w io.Writer, controller *http.ResponseController, plan Plan) error {
	for i, size := range plan.PieceSizes() {
		if err := WriteBody(w, size); err != nil {
			return err
		}
		if plan.Pieces == 0 {
			continue
		}
		controller.Flush()
		if i < plan.Pieces-1 {
			time.Sleep(plan.PieceInterval)
		}
	}
	return nil
}

// writeRaw writes a response to the bare connection: one that its end delimits, or that is reset.
func (a *App) writeRaw(w http.ResponseWriter, plan Plan) {
	header := w.Header().Clone()
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(buffered, "HTTP/1.1 %d %s\r\n", plan.Status, http.StatusText(plan.Status))
	if plan.ResetAfter > 0 {
		fmt.Fprintf(buffered, "Content-Length: %d\r\n", plan.BodySize)
	} else {
		header.Set("Connection", "close")
	}
	// A buffered connection returns its errors with Flush; they end the response as planned or earlier.
	_ = header.Write(buffered)
	_, _ = buffered.WriteString("\r\n")
	if plan.ResetAfter > 0 {
		_ = WriteBody(buffered, min(plan.ResetAfter, plan.BodySize))
		_ = buffered.Flush()
		if tcp, ok := conn.(*net.TCPConn); ok {
			time.Sleep(resetDelay)
			tcp.SetLinger(0)
		}
		return
	}
	for _, size := range plan.PieceSizes() {
		_ = WriteBody(buffered, size)
		_ = buffered.Flush()
	}
}
