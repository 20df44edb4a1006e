import {z} from 'zod';

/** A measurement in the format that `npm run bench` prints. */
export type Result = z.infer<typeof resultSchema>;

const resultSchema = z.object({
	name: z.string(),
	value: z.number(),
	unit: z.string(),
	baseline: z.number().optional(),
	bound: z.number().optional(),
	ok: z.boolean(),
});

/** Parses JSON lines; throws if a line is not a valid result. */
export function parseResults(text: string): readonly Result[] {
	return text.split('\n').filter(line => line.trim() !== '').map(line => resultSchema.parse(JSON.parse(line)));
}
