package main

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// slackMs is how long after its time, in milliseconds, an answer is not lost: half a second (page FLEET), and the 50 ms by which
// each limit is longer on sockets (page PROTOCOL).
const slackMs = 550

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
	begun := err == nil
	if begun {
		_, err = io.Copy(io.Discard, response.Body)
	}
	after := time.Since(written).Milliseconds()
	inTime := after <= int64(*expires)+slackMs
	switch {
	case err == nil && inTime:
		rec.line("client answered %s %d after %d ms", *id, response.StatusCode, after)
		fmt.Printf("held: %s was answered %d ms after its last byte\n", *id, after)
		return nil
	case err == nil:
		rec.line("client answered-late %s %d after %d ms", *id, response.StatusCode, after)
	case begun && !errors.Is(err, os.ErrDeadlineExceeded):
		// An answer that was begun and could not be finished has failed and is not lost: the client can tell.
		rec.line("client broken-off %s %d after %d ms: %v", *id, response.StatusCode, after, err)
		fmt.Printf("held: %s was broken off visibly after %d ms\n", *id, after)
		return nil
	default:
		rec.line("client lost %s no whole answer %d ms after its last byte: %v", *id, after, err)
	}
	return ruleBroken(fmt.Sprintf("broken: %s had no whole answer in %d ms and %d ms of slack after its last byte; it was waited for %d ms",
		*id, *expires, slackMs, after))
}
