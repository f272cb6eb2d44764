/** Numbers with a unit, shared by durations and sizes. */

/** A unit and its factor relative to the smallest unit. */
export type Unit = {suffix: string; factor: number};

const quantityPattern = /^(?<amount>\d+(?:\.\d+)?)\s*(?<suffix>[A-Za-z]+)$/u;

/** Parses the text into an amount of the smallest unit; returns undefined when it is not a quantity. */
export function readQuantity(
	text: string,
	units: readonly Unit[],
): number | undefined {
	const groups = quantityPattern.exec(text.trim())?.groups;
	const unit = units.find(({suffix}) => suffix === groups?.suffix);
	return groups && unit ? Number(groups.amount) * unit.factor : undefined;
}

/** Formats the amount with the largest unit that gives a whole number. */
export function formatQuantity(amount: number, units: readonly Unit[]): string {
	const unit =
		units.findLast(({factor}) => amount >= factor && amount % factor === 0) ??
		units[0]!;
	return `${amount / unit.factor}${unit.suffix}`;
}
