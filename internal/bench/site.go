package bench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/freeport"
	"dunlinsail/internal/fake/webapp"
)

// tempPattern names the folders for temporary files.
const tempPattern = "dunlinsail-bench"

// startEndpoints starts n fake endpoints.
func startEndpoints(n int, options endpoint.Options) (addrs []string, stop func(), err error) {
	var servers []*endpoint.Server
	stop = func() {
		for _, s := range servers {
			s.Close()
		}
	}
	for i := range n {
		options.Name = fmt.Sprint("s-", i)
		s, err := endpoint.Start(options)
		if err != nil {
			stop()
			return nil, nil, err
		}
		servers = append(servers, s)
		addrs = append(addrs, s.Addr)
	}
	return addrs, stop, nil
}

// site is endpoints, a fake discovery that lists them, and a folder for files.
type site struct {
	dir           string
	endpoints     []string // addresses
	discoveryAddr string
	cleanups      []func()
}

// newSite starts a site of n endpoints.
func newSite(n int, options endpoint.Options) (*site, error) {
	s, err := newEmptySite()
	if err != nil {
		return nil, err
	}
	addrs, stop, err := startEndpoints(n, options)
	if err != nil {
		s.close()
		return nil, err
	}
	s.endpoints = addrs
	s.cleanups = append(s.cleanups, stop)
	var instances []discovery.Instance
	for i, addr := range addrs {
		instances = append(instances, discovery.Instance{
			ID: fmt.Sprint("s-", i), Address: addr, Zone: "a", Kind: "m1", Cell: new(uint16(1)),
			Lifecycle: "up", Weight: 1,
		})
	}
	server, err := discoveryserver.Start(instances...)
	if err != nil {
		s.close()
		return nil, err
	}
	s.discoveryAddr = server.Addr
	s.cleanups = append(s.cleanups, server.Close)
	return s, nil
}

// newAppSite starts a site of one fake application, without discovery.
func newAppSite() (*site, error) {
	s, err := newEmptySite()
	if err != nil {
		return nil, err
	}
	app, err := webapp.Start(nil)
	if err != nil {
		s.close()
		return nil, err
	}
	s.endpoints = []string{app.Addr}
	s.cleanups = append(s.cleanups, app.Close)
	return s, nil
}

// newEmptySite returns a site with a folder only.
func newEmptySite() (*site, error) {
	dir, err := os.MkdirTemp("", tempPattern)
	if err != nil {
		return nil, err
	}
	return &site{dir: dir, cleanups: []func(){func() { os.RemoveAll(dir) }}}, nil
}

// close stops the site's servers and removes its folder, in the reverse order of their start.
func (s *site) close() {
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

// startDaemon starts the daemon over the site, with pairs of earlier and new text in its file.
func (s *site) startDaemon(ctx context.Context, bin string, cores int, edits ...string) (*process, error) {
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	path, err := writeDaemonConfig(s.dir, addr, s.discoveryAddr, cores, edits...)
	if err != nil {
		return nil, err
	}
	return startProcess(ctx, addr, 0, nil, filepath.Join(bin, daemonName), "--config", path)
}

// startRoutedDaemon starts the daemon with one route to one pool of the site's endpoints. process and route are further
// lines of these tables.
func (s *site) startRoutedDaemon(ctx context.Context, bin string, cores int, process, route string) (*process, error) {
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	path, err := writeRoutedConfig(s.dir, addr, s.endpoints, cores, process, route)
	if err != nil {
		return nil, err
	}
	return startProcess(ctx, addr, 0, nil, filepath.Join(bin, daemonName), "--config", path)
}

// startProxy starts ReverseProxy over the site.
func (s *site) startProxy(ctx context.Context, cores int) (*process, error) {
	return startProxyOver(ctx, s.endpoints, cores)
}

// startProxyOver starts ReverseProxy over some endpoints, as a process of this program.
func startProxyOver(ctx context.Context, endpoints []string, cores int) (*process, error) {
	addr, err := freeport.Free()
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return startProcess(ctx, addr, cores, nil, self, append([]string{"proxy", addr}, endpoints...)...)
}
