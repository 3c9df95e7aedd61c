// Package platform is a stand-in for the platform: it serves the object API and the
// list of instances over HTTP with JSON, and injects faults that can be set at run
// time.
//
//	GET    /objects?Key=                    object; 404
//	PUT    /objects {Key,Value,Version}     object without value; 409, 413
//	DELETE /objects?Key=&Version=           204; 404, 409
//	GET    /list?Prefix=&After=&Limit=      {Objects}, in key order
//	GET    /watch?Prefix=&After=&WaitMs=    {Objects}, in version order; a
//	                                        deleted object has a null value
//	GET    /instances                       {Live, Leaving}, may lag
//	PUT    /instances/<name> {...}          adds or replaces an entry
//	DELETE /instances/<name>                removes an entry
//	GET, PUT /faults                        see Faults
//	GET    /debug/vars                      call counters per kind and instance
//
// Values are encoded in base64. Versions are revisions of the whole store. A 409
// carries the current version, 0 if the object does not exist. A list or watch
// returns at most 4 MiB of values and may therefore return fewer objects than the
// limit; the next call continues after the last key or version. A call that is
// refused before it is processed answers 429 or 503 with the header
// "X-Applied: none".
package platform

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"
	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/storer"
)

const (
	maxListLimit = 10_000
	maxWatchWait = 5 * time.Minute
	// maxBodyBytes is the size of the largest value in base64, and 16 KiB for the
	// rest of the message.
	maxBodyBytes = storer.MaxValueSize*4/3 + 16<<10
)

// Platform is an http.Handler that implements the API in the package comment.
type Platform struct {
	clock        jujubegate.Clock
	echo         *echo.Echo
	objects      *storer.Memory
	instanceList *instanceList
	counters     *counters

	mu            sync.Mutex
	faults        Faults
	lossSampler   *lossSampler
	writeLimiter  *rate.Limiter
	readLimiter   *rate.Limiter
	faultsChanged chan struct{}
}

// New returns an empty platform with the default rate limits.
func New(clock jujubegate.Clock) *Platform {
	p := &Platform{
		clock:         clock,
		objects:       storer.NewMemory(clock, 1),
		instanceList:  newInstanceList(clock),
		counters:      newCounters(),
		faultsChanged: make(chan struct{}),
	}
	p.SetFaults(Faults{})
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/objects", p.withFaults("Get", false, p.get))
	e.PUT("/objects", p.withFaults("Put", true, p.put))
	e.DELETE("/objects", p.withFaults("Delete", true, p.remove))
	e.GET("/list", p.withFaults("List", false, p.list))
	e.GET("/watch", p.withFaults("Watch", false, p.watch))
	e.GET("/instances", p.listInstances)
	e.PUT("/instances/:name", p.putInstance)
	e.DELETE("/instances/:name", p.deleteInstance)
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Faults()) })
	e.PUT("/faults", p.putFaults)
	e.GET("/debug/vars", p.counters.serve)
	p.echo = e
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.echo.ServeHTTP(w, r) }

// Objects returns the store behind the object API. The faults don't affect it.
func (p *Platform) Objects() storer.Store { return p.objects.Store }

// object is the JSON form of a storer.Object.
type object struct {
	Key     string
	Version int64
	Value   []byte
}

type versionMessage struct {
	Key     string
	Version int64
}

type errorMessage struct {
	Error   string
	Key     string
	Version int64
}

type objectsMessage struct {
	Objects []object
}

func (p *Platform) get(c echo.Context) error {
	key := c.QueryParam("Key")
	o, err := p.objects.Get(c.Request().Context(), key)
	if err != nil {
		return p.storeError(c, key, o, err)
	}
	return c.JSON(http.StatusOK, object(o))
}

func (p *Platform) put(c echo.Context) error {
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	var m object
	if err := decode(c, &m); err != nil {
		return err
	}
	if m.Key == "" {
		return c.JSON(http.StatusBadRequest, errorMessage{Error: "Key is missing"})
	}
	// A write that was received is applied even if the client disconnects.
	o, err := p.objects.Put(withoutCancel(c), m.Key, m.Value, m.Version)
	if err != nil {
		return p.storeError(c, m.Key, o, err)
	}
	return c.JSON(http.StatusOK, versionMessage{Key: o.Key, Version: o.Version})
}

func (p *Platform) remove(c echo.Context) error {
	key := c.QueryParam("Key")
	version, err := strconv.ParseInt(c.QueryParam("Version"), 10, 64)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorMessage{Error: "Version is not a number", Key: key})
	}
	if err := p.objects.Delete(withoutCancel(c), key, version); err != nil {
		return p.storeError(c, key, storer.Object{}, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) list(c echo.Context) error {
	limit, err := strconv.Atoi(c.QueryParam("Limit"))
	if err != nil || limit < 1 || limit > maxListLimit {
		return c.JSON(http.StatusBadRequest, errorMessage{Error: "Limit is out of range"})
	}
	objects, err := p.objects.List(c.Request().Context(), c.QueryParam("Prefix"), c.QueryParam("After"), limit)
	if err != nil {
		return p.storeError(c, "", storer.Object{}, err)
	}
	return c.JSON(http.StatusOK, newObjectsMessage(objects))
}

func (p *Platform) watch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("After"), 10, 64)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorMessage{Error: "After is not a number"})
	}
	waitMs, err := strconv.ParseInt(c.QueryParam("WaitMs"), 10, 64)
	wait := time.Duration(waitMs) * time.Millisecond
	if err != nil || wait < 0 || wait > maxWatchWait {
		return c.JSON(http.StatusBadRequest, errorMessage{Error: "WaitMs is out of range"})
	}
	ctx, cancel := p.untilFaultsChange(c.Request().Context())
	defer cancel()
	objects, err := p.objects.Watch(ctx, c.QueryParam("Prefix"), after, wait)
	if err != nil {
		return p.storeError(c, "", storer.Object{}, err)
	}
	return c.JSON(http.StatusOK, newObjectsMessage(objects))
}

func newObjectsMessage(objects []storer.Object) objectsMessage {
	m := objectsMessage{Objects: make([]object, len(objects))}
	for i, o := range objects {
		m.Objects[i] = object(o)
	}
	return m
}

// storeError answers with the HTTP status for an error of the store.
func (p *Platform) storeError(c echo.Context, key string, o storer.Object, err error) error {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, storer.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, storer.ErrConflict):
		p.counters.countEvent("Conflicts")
		status = http.StatusConflict
	case errors.Is(err, storer.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	return c.JSON(status, errorMessage{Error: err.Error(), Key: key, Version: o.Version})
}

// decode decodes the JSON body into v. Its error has status 413 if the body is too
// large, else 400.
func decode(c echo.Context, v any) error {
	err := decodeStrictly(c.Request().Body, v)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, err.Error())
	}
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}
