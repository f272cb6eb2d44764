/** The policy that the node runs, as an entry of the table of policies. */
import {createAdmission} from './admission.js';
import type {Mechanism, Policy} from './policy.js';
import {createRouting} from './routing.js';

/** Creates the policy; `without` is added to the mechanisms that the context switches off. */
export function createEgretspokePolicy(
	without: ReadonlySet<Mechanism> = new Set(),
): Policy {
	return {
		name: 'egretspoke',
		createAdmission: (context) =>
			createAdmission({
				...context,
				without: union(without, context.without),
			}),
		createRouting: (context) =>
			createRouting({...context, without: union(without, context.without)}),
	};
}

function union(
	first: ReadonlySet<Mechanism>,
	second: ReadonlySet<Mechanism> | undefined,
): ReadonlySet<Mechanism> {
	return second === undefined ? first : new Set([...first, ...second]);
}

/** The policy with all mechanisms switched on. */
export const egretspokePolicy = createEgretspokePolicy();
