package access

import (
	"testing"

	"arbutusward.example/arbutusward/internal/version/catalog"
)

func digest(key string) *catalog.KeyDigest {
	if key == "" {
		return nil
	}
	d := catalog.DigestKey(key)
	return &d
}

func testIndex(on bool) *Index {
	return NewIndex(&catalog.Catalog{
		AccessControl: on,
		Queues:        []catalog.Queue{{Name: "closed", Host: "h", PathPrefix: "/c/"}, {Name: "open", Host: "h", PathPrefix: "/o/", Anonymous: true}},
		Accounts: []catalog.Account{
			{Name: "a", Keys: []catalog.KeyDigest{catalog.DigestKey("ka"), catalog.DigestKey("ka2")}},
			{Name: "b", Keys: []catalog.KeyDigest{catalog.DigestKey("kb")}},
		},
	})
}

func TestCallsToAQueue(t *testing.T) {
	for _, c := range []struct {
		on        bool
		path, key string
		reason    Reason
		account   string
	}{
		{true, "/c/1", "ka", Allowed, "a"},
		{true, "/o/1", "ka2", Allowed, "a"},
		{true, "/c/1", "", KeyMissing, ""},
		{true, "/o/1", "", Allowed, ""},
		{true, "/o/1", "other", UnknownKey, ""},
		{true, "/none/1", "other", UnknownKey, ""},
		{true, "/none/1", "", UnknownQueue, ""},
		{true, "/none/1", "ka", UnknownQueue, "a"},
		{false, "/c/1", "other", Allowed, ""},
		{false, "/none/1", "other", UnknownQueue, ""},
	} {
		d := testIndex(c.on).Queue("h", c.path, digest(c.key))
		name := ""
		if d.Account != nil {
			name = d.Account.Name
		}
		if d.Reason != c.reason || name != c.account {
			t.Errorf("%+v: %s, account %q", c, d.Reason, name)
		}
	}
}

func TestCallsForAJob(t *testing.T) {
	for _, c := range []struct {
		on                  bool
		account, queue, key string
		want                Reason
	}{
		{true, "a", "/c/", "ka2", Allowed},
		{true, "a", "/c/", "kb", OtherAccount},
		{true, "a", "/c/", "other", UnknownKey},
		{true, "a", "/o/", "", KeyMissing},
		{true, "a", "", "ka", Allowed},
		{true, "", "/c/", "kb", Allowed},
		{true, "", "/c/", "", KeyMissing},
		{true, "", "/o/", "", Allowed},
		{true, "", "", "", UnknownQueue},
		{false, "a", "/c/", "kb", Allowed},
		{false, "a", "", "", Allowed},
	} {
		x := testIndex(c.on)
		queue, _ := x.catalog.Match("h", c.queue)
		if got := x.Job(c.account, queue, digest(c.key)); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
}

func TestCallsForAnUnknownJob(t *testing.T) {
	for _, c := range []struct {
		on        bool
		path, key string
		want      Reason
	}{
		{true, "/c/1", "ka", Allowed},
		{true, "/none/1", "ka", Allowed},
		{true, "/none/1", "other", UnknownKey},
		{true, "/none/1", "", UnknownQueue},
		{true, "/c/1", "", KeyMissing},
		{true, "/o/1", "", Allowed},
		{false, "/none/1", "", Allowed},
	} {
		if got := testIndex(c.on).UnknownJob("h", c.path, digest(c.key)); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
}
