/**
 * Runs the platform's stand-in as a separate process:
 * `node platform-main.js [port] [credential]`. Prints its address as one line of
 * JSON once it listens; stops on SIGTERM.
 */
import process from 'node:process';
import {createSystemClock} from '@egretspoke/shared';
import {startPlatformServer} from './platform-stand-in.js';

const [port = '0', credential] = process.argv.slice(2);
const server = await startPlatformServer({
	clock: createSystemClock({keepAlive: true}),
	port: Number(port),
	...(credential && {credential}),
});
process.once('SIGTERM', () => {
	void server.close();
});
process.stdout.write(`${JSON.stringify({address: server.address})}\n`);
