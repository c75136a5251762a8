package hub

import (
	"os"
	"path/filepath"

	"github.com/sirupsen/logrus"

	"merlinhall/routes"
	"merlinhall/wire"
)

// routeCache keeps the manifest in force in the data folder, so that a process that
// starts again serves callers before the control group has a leader. It is a
// saving only: the file may be lost or old.
type routeCache struct {
	path string // empty without a data folder
	log  *logrus.Entry
	next chan *wire.RouteUpdate // the newest one that is not written yet
}

const (
	cacheName = "routes"
	cacheMode = 0o600
)

func newRouteCache(dir string, log *logrus.Entry) *routeCache {
	c := &routeCache{log: log, next: make(chan *wire.RouteUpdate, 1)}
	if dir == "" {
		return c
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		log.Warnf("manifest is not cached: %v", err)
		return c
	}
	c.path = filepath.Join(dir, cacheName)
	go func() {
		for u := range c.next {
			c.write(u)
		}
	}()
	return c
}

// load returns the cached manifest, or nil.
func (c *routeCache) load() *wire.RouteUpdate {
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
		c.log.Warnf("cached manifest is not used: %v", err)
		return nil
	}
	return u
}

// save has the file replaced soon, by the newest manifest only. Calls must not
// overlap.
func (c *routeCache) save(u *wire.RouteUpdate) {
	if c.path == "" {
		return
	}
	select {
	case <-c.next:
	default:
	}
	c.next <- u
}

// write replaces the file and syncs it and its folder: a power loss takes what was
// not synced.
func (c *routeCache) write(u *wire.RouteUpdate) {
	b, err := wire.Marshal(u)
	if err == nil {
		err = writeSynced(c.path, b)
	}
	if err != nil {
		c.log.Infof("manifest is not cached: %v", err)
	}
}

func writeSynced(path string, b []byte) error {
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, cacheMode)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if closing := f.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
