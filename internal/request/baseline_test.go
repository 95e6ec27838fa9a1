package request

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// plainProxy is the baseline for comparisons. It sends each request to a random
// target of the home pool, without admission, queue or retry, over the
// transport of net/http.
type plainProxy struct {
	transport *http.Transport
	services  []fleet.Service
	// addresses are the addresses of the targets by pool.
	addresses map[string][]string
}

func newPlainProxy(v *view.View, targets map[string]announce.Target) *plainProxy {
	p := &plainProxy{transport: &http.Transport{MaxIdleConnsPerHost: 64}, addresses: map[string][]string{}}
	for _, service := range v.Services {
		p.services = append(p.services, service)
	}
	for name, vm := range v.VMs {
		p.addresses[vm.Pool] = append(p.addresses[vm.Pool], targets[name].Address)
	}
	return p
}

// ServeHTTP implements http.Handler.
func (p *plainProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service := (&Table{services: p.services}).find(r.URL.Path)
	addresses := p.addresses[service.Pool]
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(service.DeadlineMS)*time.Millisecond)
	defer cancel()
	outgoing, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addresses[rand.IntN(len(addresses))]+r.URL.RequestURI(), r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	outgoing.Header = r.Header.Clone()
	response, err := p.transport.RoundTrip(outgoing)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	// Writing to a response recorder never fails.
	_, _ = io.Copy(w, response.Body)
}
