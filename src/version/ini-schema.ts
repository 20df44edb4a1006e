import {Left, Right, type Either} from 'purify-ts';
import type {z} from 'zod';
import type {Finding} from './finding.ts';
import type {IniDocument, IniSection} from './ini-document.ts';

/** Schema of each section by name. */
export type SectionSchemas = Readonly<Record<string, z.ZodObject>>;

/** Validated values of all sections. */
export type SectionValues<Schemas extends SectionSchemas> = {
	readonly [Name in keyof Schemas]: z.infer<Schemas[Name]>;
};

/** Validates a document against the schemas of its sections; reports all findings at once. */
export function validateSections<Schemas extends SectionSchemas>(
	document: IniDocument,
	schemas: Schemas,
): Either<readonly Finding[], SectionValues<Schemas>> {
	const findings: Finding[] = [...document.findings];
	const values: Record<string, unknown> = {};
	for (const section of document.sections) {
		if (!Object.hasOwn(schemas, section.name)) {
			findings.push({file: document.file, line: section.line, message: `unknown section "${section.name}"`});
		}
	}

	for (const [name, schema] of Object.entries(schemas)) {
		const section = document.sections.find(candidate => candidate.name === name);
		const result = validateSection(document.file, section ?? {name, line: 1, entries: []}, schema);
		findings.push(...result.findings);
		values[name] = result.value;
	}

	return findings.length === 0
		? Right(values as SectionValues<Schemas>)
		: Left(findings.toSorted((a, b) => a.line - b.line));
}

/** Validates one section; findings have the line of their key, or of the section if the key is missing. */
export function validateSection<Schema extends z.ZodObject>(
	file: string,
	section: IniSection,
	schema: Schema,
): {readonly findings: readonly Finding[]; readonly value: z.infer<Schema> | undefined} {
	const raw = Object.fromEntries(section.entries.map(entry => [entry.key, entry.value]));
	const unknown = section.entries.filter(entry => !Object.hasOwn(schema.shape, entry.key));
	const findings: Finding[] = unknown.map(entry => ({
		file,
		line: entry.line,
		message: `unknown key "${entry.key}" in section "${section.name}"`,
	}));
	const result = schema.safeParse(raw);
	if (result.success) {
		return {findings, value: result.data};
	}

	for (const issue of result.error.issues) {
		const key = String(issue.path[0] ?? '');
		const entry = section.entries.find(candidate => candidate.key === key);
		const message = entry === undefined
			? `section "${section.name}" needs key "${key}"`
			: `key "${key}": ${issue.message}`;
		findings.push({file, line: entry?.line ?? section.line, message});
	}

	return {findings, value: undefined};
}
