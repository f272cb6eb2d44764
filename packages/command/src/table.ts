/** Tables of text, their columns as wide as their widest cell. */
import type {ChalkInstance} from 'chalk';

/** One column: its heading and what it shows of a row. */
export type Column<Row> = {
	heading: string;
	cell(row: Row): string | number;
};

/** The heading and one line for each row; an empty text when there are none. */
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

/** Names come from other machines; a control character could redraw the screen. */
function cleanCell(text: string): string {
	return text.replaceAll(/\p{Cc}/gu, ' ');
}
