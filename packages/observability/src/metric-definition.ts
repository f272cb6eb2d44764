/** One metric. */
export type MetricDefinition = {
	/** The name that Prometheus sees. */
	name: string;
	type: 'counter' | 'gauge' | 'histogram';
	labels: readonly string[];
	/** What it counts or shows. */
	help: string;
	/** How it is read. */
	reading: string;
};
