/** Checks whether a process listens at an address, by opening a connection without sending data. */
import {connect} from 'node:net';

/** Timeout of a connection to the same machine, in milliseconds. */
const connectTimeout = 200;

/** Reports `false` only if the connection is refused. Any other failure, such as a timeout, is inconclusive and counts as listening. */
export function probeListening(
	address: string,
	onResult: (isListening: boolean) => void,
): void {
	const separator = address.lastIndexOf(':');
	const socket = connect({
		host: address.slice(0, separator),
		port: Number(address.slice(separator + 1)),
		timeout: connectTimeout,
	});
	const finish = (isListening: boolean) => {
		socket.removeAllListeners();
		socket.on('error', () => undefined);
		socket.destroy();
		onResult(isListening);
	};

	socket.once('connect', () => {
		finish(true);
	});
	socket.once('timeout', () => {
		finish(true);
	});
	socket.once('error', (error: NodeJS.ErrnoException) => {
		finish(error.code !== 'ECONNREFUSED');
	});
}
