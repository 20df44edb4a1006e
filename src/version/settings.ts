import {readFile} from 'node:fs/promises';
import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import {logLevels} from '../process/log.ts';
import type {Finding} from './finding.ts';
import {parseIniDocument} from './ini-document.ts';
import {validateSections, type SectionValues} from './ini-schema.ts';

const maxPort = 65_535;
const kibibyte = 1024;

const addressSchema = z.string().refine(isAddress, 'must be IP:PORT');
const urlSchema = z.url({protocol: /^https?$/v, error: 'must be an http or https URL'});
const nameSchema = z.string().regex(/^[a-z\d][\w.\-]{0,62}$/iv, 'must be a name of letters, digits, ".", "_" or "-"');

/** Creates a schema that parses text as an integer within a range. */
export function integer(minimum: number, maximum: number) {
	const message = `must be a whole number from ${minimum} to ${maximum}`;
	return z.coerce.number(message).int(message).min(minimum, message).max(maximum, message);
}

const platformSchema = z.object({
	table: urlSchema,
	'table-name': nameSchema.default('wagtailtack'),
	objects: urlSchema,
	hosts: urlSchema,
});

const daemonSchemas = {
	daemon: z.object({
		id: nameSchema,
		'availability-zone': nameSchema,
		listen: addressSchema,
		'peer-listen': addressSchema,
	}),
	platform: platformSchema,
	limits: z.object({
		'body-bytes': integer(kibibyte, 256 * kibibyte * kibibyte).default(4 * kibibyte * kibibyte),
		'header-bytes': integer(kibibyte, kibibyte * kibibyte).default(16 * kibibyte),
		'memory-mb': integer(64, 1_000_000).optional(),
		'max-descriptors': integer(256, 10_000_000).optional(),
		'engine-slots': integer(1, 100_000).default(64),
	}),
	shutdown: z.object({
		'balancer-delay-ms': integer(0, 600_000).default(5000),
	}),
	traces: z.object({
		endpoint: urlSchema.optional(),
	}),
	logs: z.object({
		level: z.enum(logLevels).default('info'),
	}),
} as const;

/** Settings of one daemon, as read by `wagtailtack serve`. */
export type Settings = SectionValues<typeof daemonSchemas>;

/** Parses settings; reports all findings at once. */
export function parseSettings(text: string, file: string): Either<readonly Finding[], Settings> {
	return validateSections(parseIniDocument(text, file), daemonSchemas);
}

/** Reads and parses a settings file; a file that cannot be read is reported as a finding at line 1. */
export async function readSettings(file: string): Promise<Either<readonly Finding[], Settings>> {
	const text = await readText(file);
	return text.chain(content => parseSettings(content, file));
}

/** Reads the `platform` section of a settings file for operator commands; ignores all other sections. */
export async function readPlatformSettings(file: string) {
	const text = await readText(file);
	return text.chain(content => {
		const {sections, findings} = parseIniDocument(content, file);
		const document = {file, findings, sections: sections.filter(section => section.name === 'platform')};
		return validateSections(document, {platform: platformSchema.partial({hosts: true})});
	}).map(({platform}) => platform);
}

async function readText(file: string): Promise<Either<readonly Finding[], string>> {
	try {
		return Right(await readFile(file, 'utf8'));
	} catch (error) {
		const message = error instanceof Error ? error.message : String(error);
		return Left([{file, line: 1, message: `cannot be read: ${message}`}]);
	}
}

function isAddress(text: string): boolean {
	const separator = text.lastIndexOf(':');
	const port = Number(text.slice(separator + 1));
	return separator > 0 && Number.isInteger(port) && port >= 0 && port <= maxPort;
}
