/** Reports when a key's home answered from its ledger or refused the key. */
import {ErrorCode, type Outcome} from '@egretspoke/protocol';
import type {NodeReporter} from './node-reporter.js';

/** Refusals issued by the ledger, not by admission or routing. */
const ledgerCodes: ReadonlySet<ErrorCode> = new Set([
	ErrorCode.KeyExpired,
	ErrorCode.KeyExpiryRequired,
	ErrorCode.KeyExpiryTooFar,
	ErrorCode.KeyReused,
	ErrorCode.LedgerFull,
	ErrorCode.OutcomeForgotten,
	ErrorCode.StillRunning,
]);

/** Reports an outcome if the ledger determined it. */
export function reportKey(
	reporter: NodeReporter,
	request: string,
	outcome: Outcome,
): void {
	if (outcome.kind === 'answered') {
		if (outcome.repeated) {
			const reason = 'the key ran before';
			reporter.recordDecision({name: 'keyRepeated', request, reason});
		}

		return;
	}

	const {code, detail} = outcome.refusal;
	if (ledgerCodes.has(code)) {
		reporter.recordDecision({name: 'keyRefused', request, reason: detail});
	}
}
