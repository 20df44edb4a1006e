import {z} from 'zod';
import type {RowKey} from '../ports/table.ts';

/** Kinds of configuration entries. */
export const entryKinds = ['contract', 'key'] as const;

/** Kind of a configuration entry. */
export type EntryKind = (typeof entryKinds)[number];

/** One contract or key. Entries are never deleted, only replaced at a higher version. */
export type ConfigurationEntry = {
	readonly kind: EntryKind;
	/** Customer of a contract, or digest of a key. */
	readonly name: string;
	/** Version of the whole configuration in which the entry was written. */
	readonly version: number;
	/** JSON document. */
	readonly body: string;
};

/** Entries written after one version, up to and including another. */
export type ConfigurationDifference = {
	/** Version of the receiver after it has applied the entries. */
	readonly version: number;
	/** True when the entries are the whole configuration. */
	readonly snapshot: boolean;
	readonly entries: readonly ConfigurationEntry[];
};

/** Customer or operator that a key belongs to. */
export type KeyHolder
	= | {readonly kind: 'customer'; readonly customer: string; readonly state: 'active' | 'revoked'}
		| {readonly kind: 'operator'; readonly name: string; readonly state: 'active' | 'revoked'};

/** Head of the configuration, as stored in the platform's table. */
export type ConfigurationHead = {
	readonly version: number;
};

/** Number of versions from one snapshot object to the next. */
export const versionsPerSnapshot = 100;

/** Key of the row that contains the head of the configuration. */
export const headKey: RowKey = {partition: 'configuration', sort: 'head'};

const versionDigits = 12;
const entrySchema = z.object({
	kind: z.enum(entryKinds), name: z.string(), version: z.number(), body: z.string(),
});
const snapshotSchema = z.object({version: z.number(), entries: z.array(entrySchema)});
const stateSchema = z.enum(['active', 'revoked']).default('active');
const holderSchema = z.union([
	z.object({kind: z.literal('operator'), name: z.string(), state: stateSchema}),
	z.object({kind: z.literal('customer').default('customer'), customer: z.string(), state: stateSchema}),
]);

/** Formats a version as the sort key of its change row; sort keys have the order of the versions. */
export function formatVersion(version: number): string {
	return String(version).padStart(versionDigits, '0');
}

/** Returns the key of the row that contains an entry. */
export function toEntryKey(entry: Pick<ConfigurationEntry, 'kind' | 'name'>): RowKey {
	return {partition: entry.kind, sort: entry.name};
}

/** Returns the name of the snapshot object of a version. */
export function toSnapshotName(version: number): string {
	return `snapshot/${formatVersion(version)}`;
}

/** Encodes an entry as the body of its row or its change row. */
export function formatEntry(entry: ConfigurationEntry): string {
	return JSON.stringify(entry);
}

/** Parses an entry from the body of its row or its change row; throws if it is malformed. */
export function parseEntry(body: string): ConfigurationEntry {
	return entrySchema.parse(JSON.parse(body));
}

/** Encodes a snapshot object. */
export function formatSnapshot(difference: Omit<ConfigurationDifference, 'snapshot'>): string {
	return JSON.stringify({version: difference.version, entries: difference.entries});
}

/** Parses a snapshot object; throws if it is malformed. */
export function parseSnapshot(text: string): ConfigurationDifference {
	return {...snapshotSchema.parse(JSON.parse(text)), snapshot: true};
}

/** Parses the body of the head row; the version is 0 if the row does not exist. */
export function parseHead(body: string | undefined): ConfigurationHead {
	return body === undefined ? {version: 0} : z.object({version: z.number()}).parse(JSON.parse(body));
}

/** Parses the body of a key entry; throws if it is malformed. */
export function parseKeyHolder(body: string): KeyHolder {
	return holderSchema.parse(JSON.parse(body));
}
