package console

import (
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/console/draft"
	"arbutusward.example/arbutusward/internal/process/keys"
)

const (
	// maxSessions bounds the sessions at once, and with them the memory
	// that drafts take.
	maxSessions = 64
	// sessionLife ends a session that is never idle.
	sessionLife = 12 * time.Hour
	// defaultIdle ends an idle session unless the settings say otherwise.
	defaultIdle = 30 * time.Minute
)

// errTooManySessions says that no further session can begin now.
var errTooManySessions = errors.New("too many people are signed in; try again later")

// session is one signed-in operator with a draft.
type session struct {
	id     string
	csrf   string
	claims keys.Claims
	token  string
	client *adminclient.Client

	// mu guards what follows: requests of one session go one by one.
	mu    sync.Mutex
	draft *draft.Draft
	// notice is shown once on the next page.
	notice string

	// begun and used are guarded by the store.
	begun time.Time
	used  time.Time
}

// checkCSRF compares a form's token with the session's in constant time.
func (s *session) checkCSRF(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(s.csrf)) == 1
}

// takeNotice returns the notice and forgets it.
func (s *session) takeNotice() string {
	notice := s.notice
	s.notice = ""
	return notice
}

// sessionStore keeps the sessions. It is safe for concurrent use.
type sessionStore struct {
	idle time.Duration

	mu       sync.Mutex
	sessions map[string]*session
}

func newSessionStore(idle time.Duration) *sessionStore {
	if idle == 0 {
		idle = defaultIdle
	}
	return &sessionStore{idle: idle, sessions: map[string]*session{}}
}

// begin starts a session under a new random identifier.
func (s *sessionStore) begin(claims keys.Claims, token string, client *adminclient.Client, now time.Time) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if len(s.sessions) >= maxSessions {
		return nil, errTooManySessions
	}
	begun := &session{id: rand.Text(), csrf: rand.Text(), claims: claims, token: token, client: client, begun: now, used: now}
	s.sessions[begun.id] = begun
	return begun, nil
}

// find returns a session that has not ended and notes its use.
func (s *sessionStore) find(id string, now time.Time) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	found := s.sessions[id]
	if found != nil {
		found.used = now
	}
	return found
}

// end ends a session, if there is one.
func (s *sessionStore) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, id)
}

// any returns the client of some live session, nil if there is none.
func (s *sessionStore) any(now time.Time) *adminclient.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	for _, live := range s.sessions {
		return live.client
	}
	return nil
}

// sweep drops the sessions that are over. The caller holds the lock.
func (s *sessionStore) sweep(now time.Time) {
	for id, live := range s.sessions {
		idle := now.Sub(live.used) > s.idle
		old := now.Sub(live.begun) > sessionLife
		expired := now.Unix() > live.claims.Expires
		if idle || old || expired {
			delete(s.sessions, id)
		}
	}
}
