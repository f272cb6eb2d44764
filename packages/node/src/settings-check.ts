/**
 * Checks conflicts between several keys of the settings. The checks read the raw
 * document, so that they are reported together with the findings of the schema.
 */
import {
	parseAddress,
	parseDuration,
	type Address,
	type DocumentIssue,
} from '@egretspoke/shared';

type Listener = 'caller' | 'peer' | 'admin';
type LocatedAddress = {path: string[]; address: Address};

const wildcardHosts = new Set(['0.0.0.0', '::']);

/** Finds every conflict between keys; an absent listener counts with its default. */
export function checkNodeSettings(
	value: unknown,
	defaults: Record<Listener, string>,
): DocumentIssue[] {
	const listeners = listAddresses(value, defaults);
	return [
		...checkConflicts([...listeners, ...listTarget(value)]),
		...checkAdvertised(value, listeners),
		...checkSecrets(value, listeners),
		...checkTimings(value),
	];
}

/**
 * Two listeners on one port would make the node fail at its start, because the
 * second address is in use. A target on a listener's port would make the node
 * send its requests to itself.
 */
function checkConflicts(placed: LocatedAddress[]): DocumentIssue[] {
	return placed.flatMap((each, index) => {
		const other = placed
			.slice(0, index)
			.find(({address}) => isConflict(address, each.address));
		return other
			? [
					{
						path: each.path,
						message: `port ${each.address.port} is taken by ${other.path.join('.')}`,
						advice:
							'expected a port of its own for each listener and the target',
					},
				]
			: [];
	});
}

/** Peers to which 0.0.0.0 is advertised would connect to themselves. */
function checkAdvertised(
	value: unknown,
	listeners: LocatedAddress[],
): DocumentIssue[] {
	return listeners
		.filter(
			({path, address}) =>
				path[1] !== 'admin' &&
				wildcardHosts.has(address.host) &&
				textAt(value, ['advertise', path[1]!]) === undefined,
		)
		.map(({path, address}) => ({
			path,
			message: `${address.host} can't be advertised`,
			advice: `expected advertise.${path[1]!} with this VM's own IP number`,
		}));
}

/** Without a secret, any process that reaches the listener could act as peer or operator. */
function checkSecrets(
	value: unknown,
	listeners: LocatedAddress[],
): DocumentIssue[] {
	const secretNames: Partial<Record<string, string>> = {
		peer: 'peer',
		admin: 'operator',
	};
	return listeners.flatMap(({path, address}) => {
		const secretName = secretNames[path[1]!];
		return secretName &&
			!isLoopback(address.host) &&
			textAt(value, ['secrets', secretName]) === undefined
			? [
					{
						path,
						message: 'is open to other VMs without a secret',
						advice: `expected secrets.${secretName}, or a loopback address`,
					},
				]
			: [];
	});
}

/** A lease that ends before the next probe would make every node suspect. */
function checkTimings(value: unknown): DocumentIssue[] {
	const probe = durationAt(value, ['timings', 'probe']);
	const lease = durationAt(value, ['timings', 'lease']);
	return probe !== undefined && lease !== undefined && lease < 2 * probe
		? [
				{
					path: ['timings', 'lease'],
					message: 'is too short for the probe',
					advice: 'expected at least twice timings.probe',
				},
			]
		: [];
}

function listAddresses(
	value: unknown,
	defaults: Record<Listener, string>,
): LocatedAddress[] {
	return Object.entries(defaults).flatMap(([listener, fallback]) => {
		const path = ['listeners', listener];
		const address = parseAddress(textAt(value, path) ?? fallback);
		return address ? [{path, address}] : [];
	});
}

function listTarget(value: unknown): LocatedAddress[] {
	const path = ['target', 'address'];
	const address = parseAddress(textAt(value, path) ?? '');
	return address ? [{path, address}] : [];
}

function isConflict(left: Address, right: Address): boolean {
	const isSameHost =
		left.host === right.host ||
		wildcardHosts.has(left.host) ||
		wildcardHosts.has(right.host);
	return left.port !== 0 && left.port === right.port && isSameHost;
}

function isLoopback(host: string): boolean {
	return host.startsWith('127.') || host === '::1';
}

function durationAt(value: unknown, path: string[]): number | undefined {
	const text = textAt(value, path);
	return text === undefined ? undefined : parseDuration(text);
}

function textAt(value: unknown, path: string[]): string | undefined {
	let current = value;
	for (const step of path) {
		current = (current as Record<string, unknown> | undefined)?.[step];
	}

	return typeof current === 'string' ? current : undefined;
}
