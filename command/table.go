package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/bench"
)

var formatFlag = &cli.StringFlag{Name: "format", Usage: "`FORMAT` of the output: table or json", Value: "table"}

// parseFormat reports whether --format is json. It returns a usage error unless the
// format is table or json.
func parseFormat(command *cli.Command) (bool, error) {
	switch command.String("format") {
	case "json":
		return true, nil
	case "table":
		return false, nil
	}
	return false, newUsageError("--format must be table or json")
}

func printJSON(value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints the heading and the rows in aligned columns.
func printTable(heading []string, rows [][]string) {
	writer := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	writeRow(writer, heading)
	for _, row := range rows {
		writeRow(writer, row)
	}
	_ = writer.Flush()
}

func writeRow(writer io.Writer, row []string) {
	_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
}

func printResults(results []bench.Result) {
	var rows [][]string
	for _, result := range results {
		rows = append(rows, []string{
			result.Scenario, result.Policy,
			fmt.Sprint(result.Requests), fmt.Sprint(result.Answered),
			fmt.Sprintf("%.3f", result.PrefixHitRate),
			fmt.Sprintf("%.1f", result.P50), fmt.Sprintf("%.1f", result.P95), fmt.Sprintf("%.1f", result.P99),
			fmt.Sprint(result.Computed), recomputed(result),
			fmt.Sprintf("%.3f (%s)", result.WorstShare, result.WorstAccount),
			fmt.Sprintf("%d/%d", result.WrongfulRefusals, result.WithinRate),
			fmt.Sprint(result.BrokenPromises), result.Refusals + result.Broken,
		})
	}
	printTable([]string{
		"scenario", "policy", "requests", "answered", "prefix_hit_rate", "ttft_p50_ms", "ttft_p95_ms", "ttft_p99_ms",
		"computed_tokens", "recomputed_tokens", "worst_account_share", "wrongful_refusals", "broken_promises", "refusals",
	}, rows)
}

// recomputed returns the number of recomputed tokens, or "-" if the oracle policy
// was not run.
func recomputed(result bench.Result) string {
	if result.Recomputed == nil {
		return "-"
	}
	return fmt.Sprint(*result.Recomputed)
}
