import {z} from 'zod';
import type {RowKey} from '../ports/table.ts';

/** Kinds of configuration entries. */
export const entryKinds = ['contract', 'key'] as const;

/** Kind of a configuration entry. */
export type EntryKind = (typeof entryKinds)[number];

/** One contract or key; entries are never deleted, only replaced at a higher version. */
export type ConfigurationEntry = {
	readonly kind: EntryKind;
	/** Customer of a contract, digest of a key. */
	readonly name: string;
	/** Version of the whole configuration that wrote the entry. */
	readonly version: number;
	/** JSON document. */
	readonly body: string;
};

/** Entries above one version, up to and including another. */
export type ConfigurationDifference = {
	/** Version that the receiver has reached once the entries are applied. */
	readonly version: number;
	/** True when the entries are the whole configuration. */
	readonly snapshot: boolean;
	readonly entries: readonly ConfigurationEntry[];
};

/** Whom a key admits. */
export type KeyHolder
	= | {readonly kind: 'customer'; readonly customer: string; readonly state: 'active' | 'revoked'}
		| {readonly kind: 'operator'; readonly name: string; readonly state: 'active' | 'revoked'};

/** Head of the configuration in the platform's table. */
export type ConfigurationHead = {
	readonly version: number;
};

/** Versions between two snapshot objects. */
export const versionsPerSnapshot = 100;

/** Row of the configuration's head. */
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

/** Sort key of a change row; ordered like the versions. */
export function formatVersion(version: number): string {
	return String(version).padStart(versionDigits, '0');
}

/** Row of an entry. */
export function toEntryKey(entry: Pick<ConfigurationEntry, 'kind' | 'name'>): RowKey {
	return {partition: entry.kind, sort: entry.name};
}

/** Name of the snapshot object of a version. */
export function toSnapshotName(version: number): string {
	return `snapshot/${formatVersion(version)}`;
}

/** Encodes an entry as the body of its row or change row. */
export function formatEntry(entry: ConfigurationEntry): string {
	return JSON.stringify(entry);
}

/** Parses an entry from the body of its row or change row; throws on a malformed one. */
export function parseEntry(body: string): ConfigurationEntry {
	return entrySchema.parse(JSON.parse(body));
}

/** Encodes a snapshot object. */
export function formatSnapshot(difference: Omit<ConfigurationDifference, 'snapshot'>): string {
	return JSON.stringify({version: difference.version, entries: difference.entries});
}

/** Parses a snapshot object; throws on a malformed one. */
export function parseSnapshot(text: string): ConfigurationDifference {
	return {...snapshotSchema.parse(JSON.parse(text)), snapshot: true};
}

/** Parses the body of the head row; an absent head is version 0. */
export function parseHead(body: string | undefined): ConfigurationHead {
	return body === undefined ? {version: 0} : z.object({version: z.number()}).parse(JSON.parse(body));
}

/** Parses the document of a key entry; throws on a malformed one. */
export function parseKeyHolder(body: string): KeyHolder {
	return holderSchema.parse(JSON.parse(body));
}
