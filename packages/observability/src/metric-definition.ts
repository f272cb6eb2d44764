/** The definition of one metric. */
export type MetricDefinition = {
	/** The name in Prometheus. */
	name: string;
	type: 'counter' | 'gauge' | 'histogram';
	labels: readonly string[];
	/** What the metric counts or measures. */
	help: string;
	/** How to interpret the values, for the catalogue page. */
	reading: string;
};
