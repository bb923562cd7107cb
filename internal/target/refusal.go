package target

import (
	"fmt"
	"net/http"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/platform"
)

const (
	remedyRetry   = "send the request again after the given time"
	remedyUnknown = "check whether the request took effect before sending it again"
)

func unknownService(name platform.ServiceName) *outcome.Error {
	return outcome.Refuse(http.StatusNotFound, "unknown-service",
		fmt.Sprintf("service %q does not exist", name), "create the service or correct the name", 0)
}

func noTarget(name platform.ServiceName, retryAfter time.Duration) *outcome.Error {
	return outcome.Refuse(http.StatusServiceUnavailable, "no-target",
		fmt.Sprintf("service %q has no live target", name), remedyRetry, retryAfter)
}
