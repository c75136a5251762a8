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
}

const (
	cacheName = "routes"
	cacheMode = 0o600
)

func newRouteCache(dir string, log *logrus.Entry) *routeCache {
	c := &routeCache{log: log}
	if dir == "" {
		return c
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		log.Warnf("manifest is not cached: %v", err)
		return c
	}
	c.path = filepath.Join(dir, cacheName)
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

// save replaces the file.
func (c *routeCache) save(u *wire.RouteUpdate) {
	if c.path == "" {
		return
	}
	b, err := wire.Marshal(u)
	if err == nil {
		err = os.WriteFile(c.path+".new", b, cacheMode)
	}
	if err == nil {
		err = os.Rename(c.path+".new", c.path)
	}
	if err != nil {
		c.log.Infof("manifest is not cached: %v", err)
	}
}
