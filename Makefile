.PHONY: measure
# Measures the series of docs/CAPACITY.md again and draws their plots.
measure:
	go run ./internal/measure/cmd/measure run
	go run ./internal/measure/cmd/measure plot
