/** The output of the log. */
import type {Writable} from 'node:stream';

/** Writes batches of lines. */
export type LogSink = {
	/** False while earlier output is still buffered. */
	isReady(): boolean;
	/** Writes a batch; each line ends with a line terminator. */
	write(batch: string): void;
};

/**
 * Creates a sink for a stream such as standard output. When the consumer stops
 * reading, the stream would buffer without limit; instead the sink reports that
 * it is not ready, and the bounded buffer of the log drops and counts events.
 */
export function createStreamSink(stream: Writable): LogSink {
	return {
		isReady: () => !stream.writableNeedDrain,
		write(batch) {
			stream.write(batch);
		},
	};
}
