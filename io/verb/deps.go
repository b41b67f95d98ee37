//go:build deps

package verb

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/yamux"
	_ "github.com/panjf2000/gnet/v2"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/pelletier/go-toml/v2/unstable"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/stretchr/testify/require"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
