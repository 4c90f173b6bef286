// Package hold keeps the modules of the design in go.mod until code uses them.
package hold

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/emicklei/go-restful/v3"
	_ "github.com/evanphx/json-patch/v5"
	_ "github.com/google/wire"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/golden"
	_ "gotest.tools/v3/poll"
	_ "pgregory.net/rapid"
)
