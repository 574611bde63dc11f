package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// upload sends one keyed request with a large body, as page PROTOCOL has it: the head and a first part, after a pause the
// rest at once. It records when the last byte was written, and when the answer was whole. It waits for -wait after the
// last byte.
func upload(args []string) error {
	flags := flag.NewFlagSet("upload", flag.ExitOnError)
	address := flags.String("address", "", "the sidecar's")
	recordPath := flags.String("record", "", "the record")
	class := flags.String("class", "book", "class of the request")
	id := flags.String("id", "", "id of the request")
	size := flags.Int("size", 0, "bytes of the body")
	first := flags.Int("first", 0, "bytes of the body's first part")
	pause := flags.Duration("pause", 0, "time between the first part and the rest")
	expires := flags.Int("expires", 0, "milliseconds that the client waits")
	wait := flags.Duration("wait", 0, "time to wait for the answer")
	_ = flags.Parse(args)
	rec, err := openRecord(*recordPath)
	if err != nil {
		return err
	}
	conn, err := net.Dial("tcp", *address)
	if err != nil {
		return err
	}
	defer conn.Close()
	body := bytes.Repeat([]byte("x"), *size)
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: sonrisa-norte\r\n"+
		"X-Expires-In-Ms: %d\r\nIdempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n", *class, *id, *class, *expires, *id, *size)
	if _, err := conn.Write(append([]byte(head), body[:*first]...)); err != nil {
		return err
	}
	rec.line("client sent %s its head and %d of %d bytes", *id, *first, *size)
	time.Sleep(*pause)
	_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
	if n, err := conn.Write(body[*first:]); err != nil {
		rec.line("client unfinished %s could write %d of %d bytes: %v", *id, *first+n, *size, err)
		return fmt.Errorf("the last byte could not be written: %w", err)
	}
	written := time.Now()
	rec.line("client written %s its last byte; it waits %d ms for the answer", *id, *expires)
	_ = conn.SetReadDeadline(written.Add(*wait))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	after := time.Since(written).Milliseconds()
	late := after > int64(*expires)+500
	switch {
	case err != nil && late:
		rec.line("client lost %s no whole answer %d ms after its last byte: %v", *id, after, err)
		return ruleBroken(fmt.Sprintf("broken: %s has no answer %d ms after its last byte; its time is %d ms and 500 ms of slack",
			*id, after, *expires))
	case err != nil:
		rec.line("client lost %s ended with no whole answer after %d ms: %v", *id, after, err)
		return ruleBroken(fmt.Sprintf("broken: %s was ended with no answer after %d ms", *id, after))
	}
	rec.line("client answered %s %d after %d ms", *id, response.StatusCode, after)
	if late {
		return ruleBroken(fmt.Sprintf("broken: %s was answered %d ms after its last byte; its time is %d ms and 500 ms of slack",
			*id, after, *expires))
	}
	fmt.Printf("held: %s was answered %d ms after its last byte\n", *id, after)
	return nil
}
