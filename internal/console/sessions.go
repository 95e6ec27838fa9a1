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
	// maxSessions is the largest number of concurrent sessions. It bounds the
	// memory that drafts use.
	maxSessions = 64
	// maxSessionAge is the time after which a session ends even if it is in use.
	maxSessionAge = 12 * time.Hour
	// defaultIdleTimeout is the idle timeout of sessions if the settings give none.
	defaultIdleTimeout = 30 * time.Minute
)

// errTooManySessions is returned when maxSessions sessions exist.
var errTooManySessions = errors.New("too many people are signed in; try again later")

// session is a signed-in operator, with the draft that the operator edits.
type session struct {
	id     string
	csrf   string
	claims keys.Claims
	token  string
	client *adminclient.Client

	// mu guards draft and notice. requireSession holds it for a whole request.
	mu sync.Mutex
	// draft is nil until the operator opens a draft.
	draft *draft.Draft
	// notice is a message for the next page; it is shown once.
	notice string

	// createdAt and lastUsedAt are guarded by the lock of the sessionStore.
	createdAt  time.Time
	lastUsedAt time.Time
}

// checkCSRF reports whether a form's token is the CSRF token of the session. The
// comparison takes constant time.
func (s *session) checkCSRF(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(s.csrf)) == 1
}

// takeNotice returns the notice and clears it.
func (s *session) takeNotice() string {
	notice := s.notice
	s.notice = ""
	return notice
}

// sessionStore holds the live sessions by identifier. It is safe for concurrent
// use.
type sessionStore struct {
	idleTimeout time.Duration

	mu       sync.Mutex
	sessions map[string]*session
}

// newSessionStore returns an empty store; an idle timeout of 0 means the default.
func newSessionStore(idleTimeout time.Duration) *sessionStore {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	return &sessionStore{idleTimeout: idleTimeout, sessions: map[string]*session{}}
}

// create adds a session with a new random identifier. It returns
// errTooManySessions if the store is full.
func (s *sessionStore) create(claims keys.Claims, token string, client *adminclient.Client, now time.Time) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	if len(s.sessions) >= maxSessions {
		return nil, errTooManySessions
	}
	sess := &session{id: rand.Text(), csrf: rand.Text(), claims: claims, token: token, client: client, createdAt: now, lastUsedAt: now}
	s.sessions[sess.id] = sess
	return sess, nil
}

// find returns the live session with the identifier and records its use. It
// returns nil if there is none.
func (s *sessionStore) find(id string, now time.Time) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	sess := s.sessions[id]
	if sess != nil {
		sess.lastUsedAt = now
	}
	return sess
}

// remove ends the session with the identifier, if it exists.
func (s *sessionStore) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, id)
}

// anyClient returns the client of an arbitrary live session, or nil if there is
// none.
func (s *sessionStore) anyClient(now time.Time) *adminclient.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	for _, sess := range s.sessions {
		return sess.client
	}
	return nil
}

// removeExpired removes the sessions that are idle or too old or whose token has
// expired. The caller holds the lock.
func (s *sessionStore) removeExpired(now time.Time) {
	for id, sess := range s.sessions {
		idle := now.Sub(sess.lastUsedAt) > s.idleTimeout
		tooOld := now.Sub(sess.createdAt) > maxSessionAge
		tokenExpired := now.Unix() > sess.claims.Expires
		if idle || tooOld || tokenExpired {
			delete(s.sessions, id)
		}
	}
}
