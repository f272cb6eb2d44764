/** Finds out whether anybody listens at an address, by a connection that carries nothing. */
import {connect} from 'node:net';

/** Milliseconds for a connection to the same machine. */
const connectTimeout = 200;

/** Only a refused connection says that nobody listens; without an answer it is not known, which counts as listening. */
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
