/** Numbers with a unit, the common part of durations and sizes. */

/** A unit and how many of the smallest unit it holds. */
export type Unit = {suffix: string; factor: number};

const quantityPattern = /^(?<amount>\d+(?:\.\d+)?)\s*(?<suffix>[A-Za-z]+)$/u;

/** The amount in the smallest unit; undefined when the text isn't a quantity. */
export function readQuantity(
	text: string,
	units: readonly Unit[],
): number | undefined {
	const groups = quantityPattern.exec(text.trim())?.groups;
	const unit = units.find(({suffix}) => suffix === groups?.suffix);
	return groups && unit ? Number(groups.amount) * unit.factor : undefined;
}

/** The text with the largest unit that leaves a whole number. */
export function formatQuantity(amount: number, units: readonly Unit[]): string {
	const unit =
		units.findLast(({factor}) => amount >= factor && amount % factor === 0) ??
		units[0]!;
	return `${amount / unit.factor}${unit.suffix}`;
}
