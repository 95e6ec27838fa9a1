package request

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// sizes are the numbers of targets of one pool.
var sizes = []int{50, 200, 800, 2000}

// BenchmarkAdmission measures admission, choice of a worker and release without
// I/O. The baseline is a random choice that admits every request.
func BenchmarkAdmission(b *testing.B) {
	for _, size := range sizes {
		f := newTestFleet(nil)
		for i := range size {
			f.addVM(fmt.Sprintf("vm-%d", i), "home", "127.0.0.1:1")
		}
		f.publish()
		s := f.handler.scheduler
		b.Run(fmt.Sprintf("policy/targets=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			request := f.slotRequestFor("interactive", "caller")
			request.idempotent = true
			for range b.N {
				g, _, _ := s.admit(request)
				s.release(g, succeeded, true)
			}
		})
		b.Run(fmt.Sprintf("policy-parallel/targets=%d", size), func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				request := f.slotRequestFor("interactive", "caller")
				for pb.Next() {
					g, _, _ := s.admit(request)
					s.release(g, succeeded, true)
				}
			})
		})
		var all []*worker
		for _, w := range s.workers {
			all = append(all, w)
		}
		b.Run(fmt.Sprintf("random/targets=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				all[rand.IntN(len(all))].inFlight = 0
			}
		})
	}
}

// BenchmarkSetTable measures replacing the table.
func BenchmarkSetTable(b *testing.B) {
	for _, size := range sizes {
		f := newTestFleet(nil)
		for i := range size {
			f.addVM(fmt.Sprintf("vm-%d", i), "home", "127.0.0.1:1")
		}
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				f.publish()
			}
		})
	}
}

// BenchmarkServe measures whole requests to targets in this process. The
// baseline is the plain proxy.
func BenchmarkServe(b *testing.B) {
	for _, size := range sizes {
		f := newTestFleet(nil)
		for i, address := range listenMany(b, size) {
			f.addVM(fmt.Sprintf("vm-%d", i), "home", address)
		}
		f.publish()
		plain := newPlainProxy(f.view, f.targets)
		b.Run(fmt.Sprintf("policy/targets=%d", size), func(b *testing.B) { serveMany(b, f.handler, size) })
		b.Run(fmt.Sprintf("plain/targets=%d", size), func(b *testing.B) { serveMany(b, plain, size) })
	}
}

// listenMany starts targets that answer a few bytes and returns their addresses.
func listenMany(b *testing.B, size int) []string {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) })}
	b.Cleanup(func() { _ = server.Close() })
	var addresses []string
	for range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = server.Serve(listener) }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// serveMany measures requests to the handler after 3 warm-up requests for each
// of the targets.
func serveMany(b *testing.B, handler http.Handler, targets int) {
	serve := func() {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/interactive/x", nil))
		if w.Code != http.StatusOK {
			b.Fatal(w.Code, w.Body.String())
		}
	}
	for range 3 * targets {
		serve()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		serve()
	}
}
