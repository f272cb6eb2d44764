/**
 * Runs the platform's stand-in as a process of its own:
 * `node platform-main.js [port] [credential]`. Prints one line of JSON with
 * its address once it listens; ends on SIGTERM.
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
