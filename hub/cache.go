package hub

import (
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/routes"
	"merlinhall/storage"
	"merlinhall/wire"
)

// manifestCache stores the manifest in force in the data directory, so that a restarted
// process can serve callers before the control group has a leader. Nothing depends on
// the file: it may be missing or out of date.
type manifestCache struct {
	path    string // empty if there is no data directory
	log     *logrus.Entry
	pending chan *wire.RouteUpdate // the latest manifest, if not yet written
}

const (
	cacheFileName = "routes"
	cacheFileMode = 0o600
	// cacheRetryPause is the time after a failed write until the next attempt.
	cacheRetryPause = time.Second
)

func newManifestCache(dir string, log *logrus.Entry) *manifestCache {
	c := &manifestCache{log: log, pending: make(chan *wire.RouteUpdate, 1)}
	if dir == "" {
		return c
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		log.Warnf("creating the manifest cache directory failed; continuing without a cache: %v", err)
		return c
	}
	c.path = filepath.Join(dir, cacheFileName)
	go c.writeAll()
	return c
}

// writeAll writes each manifest that is saved, again after a failure until a newer one is saved.
func (c *manifestCache) writeAll() {
	for u := range c.pending {
		for !c.write(u) {
			select {
			case u = <-c.pending:
			case <-time.After(cacheRetryPause):
			}
		}
	}
}

// load returns the cached manifest, or nil.
func (c *manifestCache) load() *wire.RouteUpdate {
	if c.path == "" {
		return nil
	}
	b, err := os.ReadFile(c.path)
	if os.IsNotExist(err) {
		return nil
	}
	u := new(wire.RouteUpdate)
	if err == nil {
		err = wire.Unmarshal(b, u)
	}
	if err == nil {
		err = wire.Unmarshal(u.Manifest, new(routes.Manifest))
	}
	if err != nil {
		c.log.Warnf("ignoring the cached manifest: %v", err)
		return nil
	}
	return u
}

// save schedules a write of the manifest. It replaces a manifest that is still waiting
// to be written. Calls must not be concurrent.
func (c *manifestCache) save(u *wire.RouteUpdate) {
	if c.path == "" {
		return
	}
	select {
	case <-c.pending:
	default:
	}
	c.pending <- u
}

// write replaces the file durably, because a power loss discards unsynced data. It reports
// whether the file has been written.
func (c *manifestCache) write(u *wire.RouteUpdate) bool {
	b, err := wire.Marshal(u)
	if err == nil {
		err = storage.ReplaceFile(c.path, b, cacheFileMode)
	}
	if err != nil {
		c.log.Infof("writing the manifest cache failed: %v", err)
	}
	return err == nil
}
