/** Renders text tables whose columns are as wide as their widest cell. */
import type {ChalkInstance} from 'chalk';

/** A column: its heading and a function that returns the cell of a row. */
export type Column<Row> = {
	heading: string;
	cell(row: Row): string | number;
};

/** Renders the headings and one line per row; returns an empty string when there are no rows. */
export function renderTable<Row>(
	rows: readonly Row[],
	columns: ReadonlyArray<Column<Row>>,
	colour: ChalkInstance,
): string {
	if (rows.length === 0) {
		return '';
	}

	const cells = rows.map((row) =>
		columns.map(({cell}) => cleanCell(String(cell(row)))),
	);
	const headings = columns.map(({heading}) => heading);
	const widths = headings.map((heading, index) =>
		Math.max(heading.length, ...cells.map((line) => line[index]!.length)),
	);
	const align = (line: string[]) =>
		line
			.map((text, index) => text.padEnd(widths[index]!))
			.join('  ')
			.trimEnd();
	return [
		colour.bold(align(headings)),
		...cells.map((line) => align(line)),
		'',
	].join('\n');
}

/** Replaces control characters, because names come from other machines and could otherwise manipulate the terminal. */
function cleanCell(text: string): string {
	return text.replaceAll(/\p{Cc}/gu, ' ');
}
