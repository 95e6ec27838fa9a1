package integration

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// configApplyLimit is the time after which each process obeys an acknowledged
// configuration.
const configApplyLimit = 2500 * time.Millisecond

// withAccounts returns the configuration with a version and the given accounts, in
// which the queue /o/ is open to callers without a key.
func withAccounts(version int, tenants string) string {
	document := strings.Replace(configurationOf(version), `"path_prefix":"/o/",`, `"path_prefix":"/o/","allow_anonymous":true,`, 1)
	return strings.Replace(document, `"limits":{}`, `"limits":{},"tenants":`+tenants, 1)
}

// checkLogsHaveNoKey checks that no process has logged a text.
func (h *hosted) checkLogsHaveNoKey(key string) {
	h.t.Helper()
	logs, err := filepath.Glob(filepath.Join(h.dir, "*.log"))
	must(h.t, err)
	if len(logs) < len(h.controls)+len(h.entries) {
		h.t.Errorf("%d logs found", len(logs))
	}
	for _, path := range logs {
		content, err := os.ReadFile(path)
		must(h.t, err)
		if strings.Contains(string(content), key) {
			h.t.Errorf("%s contains a key", filepath.Base(path))
		}
	}
}

const oneTask = `{"spec":"50ms","steps":[{"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":50}]}`

// expect checks the status of a request to each entry.
func (h *hosted) expect(wanted int, key, method, path string) {
	h.t.Helper()
	for entry := range h.entries {
		if got, body := h.requestWith(key, entry, method, path, oneTask); got != wanted {
			h.t.Errorf("%s %s with key %q at %s: %d %s, expected %d", method, path, key, h.entries[entry].id, got, body, wanted)
		}
	}
}

// TestHostedAccounts guards against calls that the key of another account, or none, gets through, and against keys that work after they were taken away.
func TestHostedAccounts(t *testing.T) {
	t.Parallel()
	h := newHosted(t, 3, 2)
	tenants := []string{
		`[{"name":"a","api_keys":["key-a1","key-a2"],"weight":50},{"name":"b","api_keys":["key-b1"]}]`,
		`[{"name":"a","api_keys":["key-a1"],"weight":50},{"name":"b","api_keys":["key-b1"]}]`,
		`[{"name":"a","api_keys":["key-a1","key-a3"],"weight":50},{"name":"b","api_keys":["key-b1"]}]`,
	}
	h.document = func(version int) string { return withAccounts(version, tenants[version-1]) }
	h.key = "key-a1"
	h.configure()
	h.addWorker("w1", 4000)
	h.submit(jobID(1), 1, 50*time.Millisecond)
	job := "/q/" + jobID(1)
	h.checkRefusals(job)
	h.checkInvalidAccounts()
	h.configure()
	h.awaitRemoval("key-a2", job)
	h.configure()
	deadline := time.Now().Add(configApplyLimit)
	for status := 0; status != http.StatusOK; {
		if status, _ = h.requestWith("key-a3", 1, http.MethodGet, job, ""); time.Now().After(deadline) {
			t.Fatalf("a key that was added: %d", status)
		}
	}
	h.controls[h.leader()].kill()
	h.submit(jobID(3), 1, 50*time.Millisecond)
	h.expect(http.StatusUnauthorized, "key-a2", http.MethodGet, job)
	h.awaitState(jobID(3), "succeeded", 20*time.Second)
	h.checkLogsHaveNoKey("key-a")
	h.checkLogsHaveNoKey("key-b")
	h.checkLogsHaveNoKey("key-unknown")
}

// checkRefusals checks the answers to calls with other keys than the job's.
func (h *hosted) checkRefusals(job string) {
	h.t.Helper()
	other, open := "/q/"+jobID(2), "/o/"+jobID(4)
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		h.expect(http.StatusUnauthorized, "key-unknown", method, job)
		h.expect(http.StatusUnauthorized, "key-unknown", method, open)
		h.expect(http.StatusUnauthorized, "", method, job)
		h.expect(http.StatusUnauthorized, "", method, other)
		h.expect(http.StatusForbidden, "key-b1", method, job)
		h.expect(http.StatusNotFound, "", method, "/none/"+jobID(2))
	}
	h.expect(http.StatusGone, "key-b1", http.MethodGet, other)
	h.expect(http.StatusOK, "key-a2", http.MethodPost, job)
	h.expect(http.StatusOK, "", http.MethodPost, open)
	h.expect(http.StatusOK, "key-b1", http.MethodGet, open)
	h.expect(http.StatusUnauthorized, "", http.MethodGet, "/q/")
	h.expect(http.StatusOK, "key-b1", http.MethodGet, "/q/")
	h.expect(http.StatusOK, "", http.MethodGet, "/o/")
	h.awaitState(jobID(1), "succeeded", 10*time.Second)
}

// checkInvalidAccounts checks that a configuration in which two accounts share a key
// changes nothing.
func (h *hosted) checkInvalidAccounts() {
	h.t.Helper()
	bad := withAccounts(9, `[{"name":"a","api_keys":["key-a1"]},{"name":"b","api_keys":["key-a1"]}]`)
	response, err := h.client.Post("http://"+h.controlAddresses()[0]+"/config/replace", "application/json", strings.NewReader(bad))
	must(h.t, err)
	_ = response.Body.Close()
	if status, body := h.readConfiguration(); response.StatusCode != http.StatusBadRequest || status != http.StatusOK || body != h.document(1) {
		h.t.Errorf("%s, then %d %s", response.Status, status, body)
	}
}

// awaitRemoval checks that a key that was taken away is refused in time by each entry,
// and stays refused, while another one works.
func (h *hosted) awaitRemoval(key, path string) {
	h.t.Helper()
	deadline := time.Now().Add(configApplyLimit)
	refused := make([]bool, len(h.entries))
	for i := 0; time.Now().Before(deadline.Add(200 * time.Millisecond)); i++ {
		entry := i % len(h.entries)
		status, _ := h.requestWith(key, entry, http.MethodGet, path, "")
		if refused[entry] && status != http.StatusUnauthorized {
			h.t.Errorf("%s refused the key and then answered %d", h.entries[entry].id, status)
		}
		refused[entry] = refused[entry] || status == http.StatusUnauthorized
		if status, _ := h.request(entry, http.MethodGet, path, ""); status != http.StatusOK {
			h.t.Errorf("a key that stays is answered %d", status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for entry, done := range refused {
		if !done {
			h.t.Errorf("%s does not refuse the key", h.entries[entry].id)
		}
	}
}

// Keys of the accounts of a soak. The second key of the first account is taken away and
// added again.
const (
	soakKey         = "key-soak-steady"
	soakRotatingKey = "key-soak-rotating"
	soakOtherKey    = "key-soak-other"
	soakUnknownKey  = "key-soak-unknown"
	// rotation is the number of versions for which the rotating key stays or is away.
	rotation = 4
	// soakTableAge is the time by which an entry's refusal may be behind.
	soakTableAge = 250 * time.Millisecond
)

// hasRotatingKey reports whether a version of the configuration has the rotating key.
func hasRotatingKey(version int) bool { return version/rotation%2 == 0 }

// usesAccounts reports whether a seed uses accounts.
func (s *soak) usesAccounts() bool { return s.seed%2 == 1 }

// useAccounts makes the soak use accounts if its seed does.
func (s *soak) useAccounts() {
	if !s.usesAccounts() {
		return
	}
	s.key = soakKey
	s.document = func(version int) string {
		keys := fmt.Sprintf("%q", soakKey)
		if hasRotatingKey(version) {
			keys += fmt.Sprintf(",%q", soakRotatingKey)
		}
		return withAccounts(version, fmt.Sprintf(`[{"name":"a","api_keys":[%s],"weight":20},{"name":"b","api_keys":[%q]}]`, keys, soakOtherKey))
	}
}

// unknownJob is the id of a job that is submitted with an unknown key only.
func unknownJob(i int) string { return fmt.Sprintf("%016x", 1<<32+i) }

// callWithKeys makes calls with an unknown key, with that of another account, with one
// that stays and with one that comes and goes.
func (s *soak) callWithKeys(i int) {
	time.Sleep(100 * time.Millisecond)
	if !s.usesAccounts() {
		return
	}
	entry := i % len(s.entries)
	if status, _ := s.requestWith(soakUnknownKey, entry, http.MethodPost, "/q/"+unknownJob(i%50), oneTask); status == http.StatusOK {
		s.t.Errorf("a job with an unknown key was accepted")
	}
	s.mu.Lock()
	job, acked, since := "", s.acked, time.Since(s.ackedAt)
	for job = range s.accepted {
		break
	}
	s.mu.Unlock()
	if job == "" {
		return
	}
	path := s.pathOf(job)
	if status, _ := s.requestWith(soakOtherKey, entry, http.MethodGet, path, ""); status == http.StatusOK || status == http.StatusUnauthorized {
		s.t.Errorf("the key of another account is answered %d", status)
	}
	if status, _ := s.request(entry, http.MethodGet, path, ""); status == http.StatusForbidden || status == http.StatusUnauthorized {
		s.t.Errorf("a key that stays is answered %d", status)
	}
	status, _ := s.requestWith(soakRotatingKey, entry, http.MethodGet, path, "")
	s.checkRotatingKey(acked, since, status)
}

// checkRotatingKey checks the answer to a call with the rotating key that began some
// time after a version was acknowledged.
func (s *soak) checkRotatingKey(acked int, since time.Duration, status int) {
	s.mu.Lock()
	attempted := s.attempted
	s.mu.Unlock()
	known := hasRotatingKey(acked)
	if acked/rotation != attempted/rotation || since < soakTableAge {
		return
	}
	if known && status == http.StatusUnauthorized || !known && status == http.StatusOK {
		s.t.Errorf("version %d or one up to %d is in force, with the key: %t; the answer is %d", acked, attempted, known, status)
	}
}

// checkKeys checks that no job with an unknown key is known, and that no key is in a
// log.
func (s *soak) checkKeys() {
	if !s.usesAccounts() {
		return
	}
	for i := range 50 {
		if state := s.state(i%len(s.entries), unknownJob(i)); state != "gone" && state != "" {
			s.t.Errorf("a job with an unknown key is %s", state)
		}
	}
	s.checkLogsHaveNoKey("key-soak")
}
