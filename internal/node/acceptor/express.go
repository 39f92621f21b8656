package acceptor

import (
	"cmp"
	"net/http"
	"time"
)

// Without room for a connection, a few are served beyond the share if they carry one small request
// without a body: requests for states and cancellations, which give room back. Others find out at
// once that there is no room.
const (
	expressPart     = 16                    // of the connections of a share, one in so many is added
	expressHeadSize = 4 << 10               // bytes
	expressTime     = 50 * time.Millisecond // the request usually follows the connection within a round trip, 6 ms
)

// openExpress opens an express connection and reports whether it may.
func (a *Acceptor) openExpress(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.Refusal || a.express >= max(1, a.Share.Connections/expressPart) {
		return false
	}
	a.express++
	c.express, c.left = true, expressHeadSize
	time.AfterFunc(cmp.Or(a.ExpressTime, expressTime), func() {
		if !c.body.Load() {
			c.acceptor.recordClosed(reasonTooMany)
			refuseConn(c.Conn)
			_ = c.Close()
		}
	})
	return true
}

// readExpress reads from an express connection. A longer request ends it.
func (c *conn) readExpress(p []byte) (int, error) {
	if c.left == 0 {
		_ = c.Close()
	}
	n, err := c.Conn.Read(p[:min(len(p), max(1, c.left))])
	c.left -= n
	return n, err
}

// serveExpress handles the only request of an express connection.
func serveExpress(c *conn, w http.ResponseWriter, q *http.Request, next http.Handler) {
	c.body.Store(true)
	w.Header().Set("Connection", "close")
	if q.Body != nil && q.Body != http.NoBody {
		c.acceptor.recordClosed(reasonTooMany)
		refuse(w)
		return
	}
	c.acceptor.Count("requests-beyond-share-"+c.acceptor.metric(), 1)
	next.ServeHTTP(w, q)
}
