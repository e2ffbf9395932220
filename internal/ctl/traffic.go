package ctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"
)

const (
	metricsPath      = "/metrics"
	trafficMetric    = "sequoialane_traffic_bytes_total{"
	maxMetricsBytes  = 8 << 20
	bytesPerKilobyte = 1000
)

// TrafficKey is a cause of traffic and its distance, as in package traffic.
type TrafficKey struct {
	Cause    string `json:"cause"`
	Distance string `json:"distance"`
}

// Traffic is the number of bytes exchanged for one cause over one distance.
type Traffic struct {
	TrafficKey
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// Traffic reads the traffic counters of all addresses of the client, which are
// peer addresses of processes, and adds them up. It returns an error if any
// process cannot be read, since the sums would be too low.
func (c *Client) Traffic(ctx context.Context) ([]Traffic, error) {
	sums := map[TrafficKey]*Traffic{}
	for _, address := range c.Addresses {
		if err := c.addTraffic(ctx, address, sums); err != nil {
			return nil, fmt.Errorf("%s: %w", address, err)
		}
	}
	list := lo.Map(lo.Values(sums), func(t *Traffic, _ int) Traffic { return *t })
	slices.SortFunc(list, func(a, b Traffic) int { return strings.Compare(a.Distance+a.Cause, b.Distance+b.Cause) })
	return list, nil
}

func (c *Client) addTraffic(ctx context.Context, address string, sums map[TrafficKey]*Traffic) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metricsPath, nil)
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("metrics: status %d", response.StatusCode)
	}
	return parseTraffic(io.LimitReader(response.Body, maxMetricsBytes), sums)
}

// parseTraffic adds the traffic counters of metrics in text form to the sums.
func parseTraffic(metrics io.Reader, sums map[TrafficKey]*Traffic) error {
	lines := bufio.NewScanner(metrics)
	for lines.Scan() {
		labels, found := strings.CutPrefix(lines.Text(), trafficMetric)
		if !found {
			continue
		}
		labels, value, _ := strings.Cut(labels, "} ")
		count, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("metric %q: %w", lines.Text(), err)
		}
		named := labelValues(labels)
		key := TrafficKey{Cause: named["cause"], Distance: named["distance"]}
		if sums[key] == nil {
			sums[key] = &Traffic{TrafficKey: key}
		}
		if named["direction"] == "sent" {
			sums[key].Sent += count
		} else {
			sums[key].Received += count
		}
	}
	return lines.Err()
}

// labelValues splits labels of the form name="value",name="value".
func labelValues(labels string) map[string]string {
	values := map[string]string{}
	for label := range strings.SplitSeq(labels, ",") {
		name, value, _ := strings.Cut(label, "=")
		values[name] = strings.Trim(value, `"`)
	}
	return values
}

// TrafficTable returns a table of traffic in kB.
func TrafficTable(list []Traffic) (heading []string, rows [][]string) {
	for _, t := range list {
		rows = append(rows, []string{
			t.Distance, t.Cause, strconv.FormatInt(t.Sent/bytesPerKilobyte, 10), strconv.FormatInt(t.Received/bytesPerKilobyte, 10),
		})
	}
	return []string{"DISTANCE", "CAUSE", "SENT KB", "RECEIVED KB"}, rows
}
