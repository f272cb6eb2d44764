/** Lists the keys that a zod schema allows at a path. */
import type {z} from 'zod';
import type {DocumentPath} from './document-place.js';

type Schema = z.core.$ZodTypes;
type Definition = Schema['_zod']['def'];
type Kind = Definition['type'];
type Handlers<Output> = {
	[Each in Kind]?: (definition: Extract<Definition, {type: Each}>) => Output;
};

/** Returns the keys that any branch of the schema allows at the path. */
export function listKnownKeys(
	schema: z.core.$ZodType,
	path: DocumentPath,
): string[] {
	let schemas = unwrap(schema);
	for (const step of path) {
		schemas = schemas.flatMap((each) => descend(each, step));
	}

	const keys = schemas.flatMap(({_zod: {def}}) =>
		def.type === 'object' ? Object.keys(def.shape) : [],
	);
	return [...new Set(keys)];
}

/** The inner schemas of each type of schema that only wraps others. */
const wrappers: Handlers<readonly z.core.$ZodType[]> = {
	optional: ({innerType}) => [innerType],
	nullable: ({innerType}) => [innerType],
	default: ({innerType}) => [innerType],
	prefault: ({innerType}) => [innerType],
	nonoptional: ({innerType}) => [innerType],
	readonly: ({innerType}) => [innerType],
	catch: ({innerType}) => [innerType],
	pipe: (definition) => [definition.in],
	lazy: ({getter}) => [getter()],
	union: ({options}) => options,
};

/** Unwraps defaults, unions, pipes and other wrappers, down to the inner schemas. */
function unwrap(schema: z.core.$ZodType): Schema[] {
	const known = schema as Schema;
	const inner = handle(wrappers, known._zod.def);
	return inner ? inner.flatMap((each) => unwrap(each)) : [known];
}

function descend(schema: Schema, step: PropertyKey): Schema[] {
	const children: Handlers<z.core.$ZodType | undefined> = {
		object: ({shape}) => shape[String(step)],
		array: ({element}) => element,
		record: ({valueType}) => valueType,
	};
	const child = handle(children, schema._zod.def);
	return child ? unwrap(child) : [];
}

function handle<Output>(
	handlers: Handlers<Output>,
	definition: Definition,
): Output | undefined {
	const handler = handlers[definition.type] as
		((definition: Definition) => Output) | undefined;
	return handler?.(definition);
}
