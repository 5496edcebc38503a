package auth

import (
	"net/http"
	"strings"
	"time"

	vane "mustardvane.org/vane"
	"mustardvane.org/vane/config"
)

// scheme precedes the key in the Authorization header.
const scheme = "Bearer "

// retryOther is what a caller waits before it asks another entry address.
const retryOther = time.Second

// credentials are the headers that can carry a key. None is ever forwarded.
var credentials = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}

// Freshness says whether this node has recent enough word of withdrawals, and
// if not, why.
type Freshness func() (ok bool, why string)

// Key returns the key that the header presents.
func Key(h http.Header) (string, error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return "", vane.Refuse(vane.ReasonKeyMissing, "no key; send the header Authorization: Bearer KEY")
	}
	if len(values) > 1 {
		return "", vane.Refuse(vane.ReasonKeyMissing, "the Authorization header stands %d times; send it once", len(values))
	}
	v := values[0]
	if len(v) <= len(scheme) || !strings.EqualFold(v[:len(scheme)], scheme) {
		return "", vane.Refuse(vane.ReasonKeyMissing, "the Authorization header is not of the form Bearer KEY; correct it")
	}
	return strings.TrimSpace(v[len(scheme):]), nil
}

// Workspace returns the workspace whose key the header presents. Errors are of
// type [*vane.Refusal] and never hold the key.
func Workspace(h http.Header, v *config.View, fresh Freshness) (config.Workspace, error) {
	key, err := Key(h)
	if err != nil {
		return config.Workspace{}, err
	}
	if v.Revision == 0 {
		return config.Workspace{}, vane.Refuse(vane.ReasonNotReady, "this node has no configuration yet; use another entry address").WithRetryAfter(retryOther)
	}
	if ok, why := fresh(); !ok {
		return config.Workspace{}, vane.Refuse(vane.ReasonKeyUnconfirmed, "this node can't confirm keys: %s; use another entry address", why).WithRetryAfter(retryOther)
	}
	ws, ok := v.WorkspaceByKey(key)
	if !ok {
		return config.Workspace{}, vane.Refuse(vane.ReasonKeyUnknown, "the key is not known or was withdrawn; ask the operator for a key")
	}
	return ws, nil
}

// Strip removes everything from the header that can carry a key.
func Strip(h http.Header) {
	for _, name := range credentials {
		h.Del(name)
	}
}
