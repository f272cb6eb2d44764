/** Where lines go. */
import type {Writable} from 'node:stream';

/** Takes whole batches of lines. */
export type LogSink = {
	/** False while what was written before has not left yet. */
	isReady(): boolean;
	/** Writes a batch; each line ends with a line end. */
	write(batch: string): void;
};

/**
 * Writes to a stream such as standard output. A reader that stops reading
 * would let the stream buffer without end; here it only makes the sink not
 * ready, and the log's own bounded buffer drops and counts.
 */
export function createStreamSink(stream: Writable): LogSink {
	return {
		isReady: () => !stream.writableNeedDrain,
		write(batch) {
			stream.write(batch);
		},
	};
}
