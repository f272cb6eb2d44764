/**
 * Requests newer configurations from the nodes that announce them.
 *
 * After a suspension, the announcements of several versions arrive at once, most
 * of them on links that their nodes have closed meanwhile. Asked in the order of
 * their arrival, the nodes would be waited for one after the other while a live
 * node has announced a newer version.
 */
import type {Clock, Timer} from '@egretspoke/shared';
import type {Reply} from '../links/peer-updates.js';
import type {MeshReporter} from '../mesh-reporter.js';

/** A node that announced a newer configuration. */
export type ConfigurationProvider = {
	node: string;
	version: number;
	send: Reply;
};

/** Options of `createConfigurationProviders`. */
export type ConfigurationProvidersOptions = {
	clock: Clock;
	/** The version in force. */
	ownVersion: () => number;
	/** Called when a node that was asked does not answer, or can't be asked. */
	onUnanswered: () => void;
	reporter: Pick<MeshReporter, 'notice'>;
};

/** The nodes that announced a newer configuration. */
export type ConfigurationProviders = {
	/** Adds a provider; it is asked at once unless an answer is awaited. */
	add(provider: ConfigurationProvider): void;
	/** A configuration of the node arrived. */
	recordAnswer(node: string): void;
};

/** Milliseconds to wait for a configuration before it is requested from another node. */
const answerTimeout = 300;

/** Creates the providers of a node that knows none yet. */
export function createConfigurationProviders({
	clock,
	ownVersion,
	onUnanswered,
	reporter,
}: ConfigurationProvidersOptions): ConfigurationProviders {
	/** The latest announcement of each node that was not asked since, the last one at the end. */
	const waiting = new Map<string, ConfigurationProvider>();
	/** The provider whose answer is awaited. */
	let asked: ConfigurationProvider | undefined;
	let timer: Timer | undefined;

	/** Takes the provider of the newest version; of several, the one that announced it last. */
	const takeNext = (): ConfigurationProvider | undefined => {
		let next: ConfigurationProvider | undefined;
		for (const provider of waiting.values()) {
			if (provider.version <= ownVersion()) {
				waiting.delete(provider.node);
			} else if (provider.version >= (next?.version ?? 0)) {
				next = provider;
			}
		}

		waiting.delete(next?.node ?? '');
		return next;
	};

	const report = (
		{version, node}: ConfigurationProvider,
		reason: 'linkClosed' | 'noAnswer',
	) => {
		reporter.notice('configurationNotReceived', {
			version,
			source: node,
			reason,
		});
	};

	/** Asks one provider at a time: after a start every link announces the same version, and the configuration is much longer than its version. */
	const askNext = () => {
		timer?.cancel();
		let isUnanswered = false;
		for (;;) {
			asked = takeNext();
			if (!asked || asked.send({kind: 'configurationWanted'})) {
				break;
			}

			report(asked, 'linkClosed');
			isUnanswered = true;
		}

		timer = asked && clock.setTimer(answerTimeout, onTimeout);
		if (isUnanswered && !asked) {
			onUnanswered();
		}
	};

	const onTimeout = () => {
		const isBehind = asked!.version > ownVersion();
		if (isBehind) {
			report(asked!, 'noAnswer');
		}

		askNext();
		if (isBehind) {
			onUnanswered();
		}
	};

	return {
		add(provider) {
			waiting.delete(provider.node);
			waiting.set(provider.node, provider);
			if (!asked || asked.version <= ownVersion()) {
				askNext();
			}
		},
		recordAnswer(node) {
			if (asked?.node === node) {
				askNext();
			}
		},
	};
}
