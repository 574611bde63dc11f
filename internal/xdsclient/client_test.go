package xdsclient_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/types/known/anypb"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/rollout"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/fake/xdsserver"
	"dunlinsail/internal/stricttoml"
	"dunlinsail/internal/xdsclient"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testClient is a client under test, and the updates that it has received.
type testClient struct {
	*xdsclient.Client
	mu       sync.Mutex
	received []xdsclient.Update
}

func (client *testClient) updates() []xdsclient.Update {
	client.mu.Lock()
	defer client.mu.Unlock()
	return append([]xdsclient.Update(nil), client.received...)
}

func settings(addr string) config.ControlPlane {
	return config.ControlPlane{
		Address:         addr,
		Plaintext:       true,
		MaxResponseSize: stricttoml.Size{Bytes: 1 << 20},
		MaxBackoff:      stricttoml.Duration{Duration: 100 * time.Millisecond},
	}
}

// startClient runs a client until the test ends.
func startClient(t *testing.T, settings config.ControlPlane, running *rollout.ID) *testClient {
	t.Helper()
	client := &testClient{}
	inner, err := xdsclient.New(xdsclient.Options{
		Settings:     settings,
		InstanceName: "i-1",
		Zone:         "a",
		Applied:      running,
		Log:          scriptedpeer.DiscardLog,
		OnUpdate: func(u xdsclient.Update) {
			client.mu.Lock()
			defer client.mu.Unlock()
			client.received = append(client.received, u)
		},
	})
	require.NoError(t, err)
	client.Client = inner
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		client.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return client
}

func startServer(t *testing.T, o xdsserver.Options) *xdsserver.Server {
	t.Helper()
	s, err := xdsserver.Start(o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func class(name string, weight float64) config.Resource {
	return config.Resource{
		Kind:   "class",
		Name:   name,
		Fields: map[string]any{"repeat": "safe", "aim": "100ms", "give_up": "1s", "worth": weight},
	}
}

// A version arrives as it was sent, and ACKs and NACKs of it reach the server with its nonce.
func TestUpdateAndAnswers(t *testing.T) {
	s := startServer(t, xdsserver.Options{})
	if err := s.SetResources("e/7", []config.Resource{
		class("look", 2),
		{Kind: "requests", Fields: map[string]any{"open": 50.0}},
	}, map[string]any{"rollback": true, "about": "try"}); err != nil {
		t.Fatal(err)
	}
	client := startClient(t, settings(s.Address), &rollout.ID{Epoch: "e", Number: 6})
	scriptedpeer.Eventually(t, "the version", func() bool { return len(client.updates()) == 1 })
	u := client.updates()[0]
	if u.DecodeError != "" || !u.Version.Rollback || u.Version.Digest != config.Digest(u.Resources) {
		t.Errorf("%+v", u)
	}
	if u.Version.ID != (rollout.ID{Source: rollout.SourceControlPlane, Epoch: "e", Number: 7}) {
		t.Errorf("version %+v", u.Version)
	}
	if len(u.Resources) != 2 || u.Resources[0].Name != "look" {
		t.Fatalf("resources %+v", u.Resources)
	}
	if fields := u.Resources[0].Fields; fields["worth"] != 2.0 || fields["name"] != nil {
		t.Errorf("fields %v", fields)
	}
	client.Ack(u.Version.ID, false)
	client.Ack(u.Version.ID, true)
	client.Nack(u.Version.ID, "it did harm", &rollout.ID{Epoch: "e", Number: 6})
	scriptedpeer.Eventually(t, "the answers", func() bool { return len(s.Requests()) == 4 })
	w := s.Requests()
	if w[0].VersionInfo != "e/6" || w[0].Node != "i-1" || w[0].ResponseNonce != "" {
		t.Errorf("first %+v", w[0])
	}
	for i, want := range []xdsserver.Request{
		{State: "trial", VersionInfo: "e/7"},
		{State: "good", VersionInfo: "e/7"},
		{State: "refused", VersionInfo: "e/6", ErrorDetail: "it did harm"},
	} {
		g := w[i+1]
		sameState := g.State == want.State && g.VersionInfo == want.VersionInfo
		if g.AnsweredVersion != "e/7" || !sameState || g.ErrorDetail != want.ErrorDetail {
			t.Errorf("answer %d: %+v, want %+v", i, g, want)
		}
	}
}

// Invalid responses are rejected with their reason, and later versions arrive nevertheless.
func TestInvalidResponses(t *testing.T) {
	s := startServer(t, xdsserver.Options{})
	client := startClient(t, settings(s.Address), nil)
	scriptedpeer.Eventually(t, "a stream", func() bool { return s.StreamsOpened() == 1 })
	valid, err := xdsserver.NewResponse("1", []config.Resource{class("look", 1)}, nil)
	require.NoError(t, err)
	made := func(change func(r *discovery.DiscoveryResponse)) *discovery.DiscoveryResponse {
		r := &discovery.DiscoveryResponse{
			VersionInfo: valid.VersionInfo,
			TypeUrl:     valid.TypeUrl,
			Resources:   valid.Resources,
		}
		change(r)
		return r
	}
	broadcastUnreadable(t, s, made)
	release, err := xdsserver.NewResponse("9", []config.Resource{class("a", 1)}, map[string]any{"rollback": "yes"})
	require.NoError(t, err)
	unknown, err := xdsserver.NewResponse("10", []config.Resource{
		{Kind: "clas", Name: "x", Fields: map[string]any{}},
	}, nil)
	require.NoError(t, err)
	invalid := map[string]*discovery.DiscoveryResponse{
		"no resource is in it":        made(func(r *discovery.DiscoveryResponse) { r.Resources = nil }),
		"neither true nor false":      release,
		"is no kind of resource":      unknown,
		"cannot parse invalid wire-f": made(func(r *discovery.DiscoveryResponse) { r.Resources = cut(r) }),
	}
	n := 0
	for want, r := range invalid {
		s.Broadcast(r)
		n++
		scriptedpeer.Eventually(t, want, func() bool { return len(client.updates()) == n })
		u := client.updates()[n-1]
		if !strings.Contains(u.DecodeError, want) || u.Resources != nil || u.Version.Digest == "" {
			t.Errorf("%s: %+v", want, u)
		}
	}
	s.Broadcast(valid)
	scriptedpeer.Eventually(t, "a valid one", func() bool {
		u := client.updates()
		return len(u) == n+1 && u[n].DecodeError == ""
	})
	if s.StreamsOpened() != 1 {
		t.Errorf("%d streams", s.StreamsOpened())
	}
}

// broadcastUnreadable sends responses whose type or version_info is invalid, and waits for the NACK of each.
func broadcastUnreadable(
	t *testing.T, s *xdsserver.Server, made func(func(*discovery.DiscoveryResponse)) *discovery.DiscoveryResponse,
) {
	t.Helper()
	unreadable := map[string]*discovery.DiscoveryResponse{
		"was not asked for": made(func(r *discovery.DiscoveryResponse) {
			r.TypeUrl = "type.googleapis.com/envoy.config.listener.v3.Listener"
		}),
		"is neither NUMBER":           made(func(r *discovery.DiscoveryResponse) { r.VersionInfo = "seven" }),
		`"07" is neither NUMBER`:      made(func(r *discovery.DiscoveryResponse) { r.VersionInfo = "07" }),
		"the epoch before / is empty": made(func(r *discovery.DiscoveryResponse) { r.VersionInfo = "/7" }),
		"an epoch is at most 64": made(func(r *discovery.DiscoveryResponse) {
			r.VersionInfo = strings.Repeat("e", 65) + "/7"
		}),
		`"18446744073709551616" is nei`: made(func(r *discovery.DiscoveryResponse) {
			r.VersionInfo = "18446744073709551616"
		}),
	}
	for want, r := range unreadable {
		s.Broadcast(r)
		scriptedpeer.Eventually(t, want, func() bool {
			for _, w := range s.Requests() {
				if strings.Contains(w.ErrorDetail, want) {
					return true
				}
			}
			return false
		})
	}
}

// A version over the limit of its size is not decoded. The stream is opened again, and later versions arrive.
func TestResponseTooLarge(t *testing.T) {
	s := startServer(t, xdsserver.Options{})
	var many []config.Resource
	for i := range 20_000 {
		many = append(many, class(fmt.Sprint("c", i), 1))
	}
	require.NoError(t, s.SetResources("1", many, nil))
	client := startClient(t, settings(s.Address), nil)
	scriptedpeer.Eventually(t, "the stream opened again", func() bool { return s.StreamsOpened() >= 3 })
	if len(client.updates()) > 0 {
		t.Error("it was decoded")
	}
	require.NoError(t, s.SetResources("2", many[:5], nil))
	scriptedpeer.Eventually(t, "the next", func() bool { return len(client.updates()) > 0 })
}

// A server that fails at any byte of a response is connected to again. Versions arrive complete, and each stream starts
// with the version that is running.
func TestServerVanishes(t *testing.T) {
	s := startServer(t, xdsserver.Options{})
	client := startClient(t, settings(s.Address), nil)
	scriptedpeer.Eventually(t, "a stream", func() bool { return s.StreamsOpened() == 1 })
	all := []config.Resource{class("look", 1), class("book", 2)}
	for n, cut := range []int64{0, 1, 9, 10, 40, 100, 200, 300} {
		s.ResetConnectionsAfter(cut)
		info := fmt.Sprint(n + 1)
		require.NoError(t, s.SetResources(info, all, nil))
		scriptedpeer.Eventually(t, "the cut", func() bool { return s.OpenStreams() == 0 || client.has(n+1) })
		s.ResetConnectionsAfter(-1)
		scriptedpeer.Eventually(t, "version "+info, func() bool { return client.has(n + 1) })
		client.Ack(rollout.ID{Number: uint64(n + 1)}, true)
	}
	for _, u := range client.updates() {
		if u.DecodeError != "" || len(u.Resources) != 2 {
			t.Errorf("%+v", u)
		}
	}
	// An ACK without a stream: the next stream starts with the version that is running.
	s.DropStreams()
	client.Ack(rollout.ID{Number: 8}, true)
	scriptedpeer.Eventually(t, "the running version", func() bool {
		w := s.Requests()
		return w[len(w)-1].VersionInfo == "8" && w[len(w)-1].ResponseNonce == ""
	})
	// A longer outage, with a NACK meanwhile.
	addr := s.Address
	s.Close()
	client.Nack(rollout.ID{Number: 8}, "late", nil)
	again := startServer(t, xdsserver.Options{Address: addr})
	require.NoError(t, again.SetResources("9", all, nil))
	scriptedpeer.Eventually(t, "the service's return", func() bool { return client.has(9) })
	if w := again.Requests()[0]; w.VersionInfo != "" {
		t.Errorf("after the NACK version_info is %q", w.VersionInfo)
	}
}

func (client *testClient) has(number int) bool {
	for _, u := range client.updates() {
		if u.Version.Number == uint64(number) {
			return true
		}
	}
	return false
}

// cut returns the first resource of a response without its last bytes.
func cut(r *discovery.DiscoveryResponse) []*anypb.Any {
	x := &anypb.Any{TypeUrl: r.Resources[0].TypeUrl, Value: r.Resources[0].Value[:len(r.Resources[0].Value)-3]}
	return []*anypb.Any{x}
}

// Responses are read at a limited rate from a server that never stops sending, so that they need little memory.
func TestServerNeverStopsSending(t *testing.T) {
	s := startServer(t, xdsserver.Options{})
	client := startClient(t, settings(s.Address), nil)
	scriptedpeer.Eventually(t, "a stream", func() bool { return s.StreamsOpened() == 1 })
	for n := range 1000 {
		r, err := xdsserver.NewResponse(fmt.Sprint(n+1), []config.Resource{class("look", 1)}, nil)
		require.NoError(t, err)
		s.Broadcast(r)
	}
	scriptedpeer.Eventually(t, "some", func() bool { return len(client.updates()) >= 10 })
	if n := len(client.updates()); n > 30 {
		t.Errorf("%d of 1000 were read at once", n)
	}
}

// authority signs certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// newAuthority returns an authority whose certificate is in ca.pem of its folder.
func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a := &authority{key: key, dir: t.TempDir()}
	a.cert = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	require.NoError(t, err)
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue returns the files of a certificate and its key.
func (a *authority) issue(t *testing.T, name string) (cert, key string) {
	t.Helper()
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &own.PublicKey, a.key)
	require.NoError(t, err)
	private, err := x509.MarshalECPrivateKey(own)
	require.NoError(t, err)
	return a.write(t, name+".pem", "CERTIFICATE", der), a.write(t, name+".key", "EC PRIVATE KEY", private)
}

// server returns the credentials of a server that requires certificates of the authority.
func (a *authority) server(t *testing.T) credentials.TransportCredentials {
	t.Helper()
	cert, key := a.issue(t, "service")
	own, err := tls.LoadX509KeyPair(cert, key)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	text, err := os.ReadFile(filepath.Join(a.dir, "ca.pem"))
	require.NoError(t, err)
	pool.AppendCertsFromPEM(text)
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{own},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	})
}

// Each side must have a certificate that the authority of the other has signed, and the server's must have the expected
// name.
func TestMutualTLS(t *testing.T) {
	ours := newAuthority(t)
	theirs := newAuthority(t)
	s := startServer(t, xdsserver.Options{Credentials: ours.server(t)})
	require.NoError(t, s.SetResources("1", []config.Resource{class("look", 1)}, nil))
	with := func(ca, own *authority, name string) config.ControlPlane {
		c := settings(s.Address)
		c.Plaintext = false
		c.ServerName = name
		c.CA = filepath.Join(ca.dir, "ca.pem")
		c.Cert, c.Key = own.issue(t, "instance")
		return c
	}
	good := startClient(t, with(ours, ours, ""), nil)
	for what, c := range map[string]config.ControlPlane{
		"an authority that is not the service's": with(theirs, ours, ""),
		"a certificate of another authority":     with(ours, theirs, ""),
		"another name":                           with(ours, ours, "somebody"),
		"no TLS":                                 settings(s.Address),
	} {
		client := startClient(t, c, nil)
		defer func() {
			if len(client.updates()) > 0 {
				t.Errorf("%s: versions arrived", what)
			}
		}()
	}
	scriptedpeer.Eventually(t, "the version", func() bool { return good.has(1) })
	bad := with(ours, ours, "")
	bad.CA = bad.Key
	_, err := xdsclient.New(xdsclient.Options{Settings: bad})
	if err == nil || !strings.Contains(err.Error(), "control.ca") {
		t.Errorf("an invalid CA: %v", err)
	}
	bad = with(ours, ours, "")
	bad.Key = "/nowhere"
	_, err = xdsclient.New(xdsclient.Options{Settings: bad})
	if err == nil || !strings.Contains(err.Error(), "control.cert") {
		t.Errorf("a missing key: %v", err)
	}
}
