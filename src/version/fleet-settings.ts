import {Left, Right, type Either} from 'purify-ts';
import type {Finding} from './finding.ts';
import {parseIniDocument, type IniEntry, type IniSection} from './ini-document.ts';

/** Settings of a daemon on the operator's platform; durations in milliseconds. */
export type FleetSettings = {
	readonly daemon: {
		readonly name: string;
		readonly host: string;
		readonly availabilityZone: string;
	};
	readonly listen: {
		/** IP and port for callers. */
		readonly callers: string;
		readonly readiness: string;
		/** First port for datagrams exchanged between daemons. */
		readonly peerPort: number;
		readonly metricsPort: number;
	};
	readonly store: {
		readonly address: string;
	};
	/** Calls to the platform that one daemon makes for all; undefined if the platform expects none. */
	readonly duties: {
		readonly address: string;
		/** Length of a window of the usage report; undefined if no usage is reported. */
		readonly reportWindowMs: number | undefined;
		/** Time after the end of a window at which its report is due. */
		readonly reportDueMs: number;
	} | undefined;
	readonly limits: {
		readonly memoryMb: number;
		/** Bandwidth of the host's link in megabits a second. */
		readonly linkMbps: number;
		/** File descriptors that the process may open, those reserved for files included; undefined if not limited. */
		readonly maxDescriptors: number | undefined;
	};
	readonly bounds: {
		readonly retryRatio: number;
		readonly retrySlack: number;
		readonly retryWindowMs: number;
		readonly graceMs: number;
		/** Time after an impairment of its connections at which a host counts as connected again. */
		readonly contactMs: number;
		/** Time within which sends to an upstream that is leaving must have ended. */
		readonly drainMs: number;
		/** Time within which an acknowledged configuration must be in force. */
		readonly configApplyMs: number;
		readonly leaseMs: number;
	};
};

type SettingsReader = {
	readonly text: (section: string, key: string) => string;
	readonly address: (section: string, key: string) => string;
	readonly number: (section: string, key: string) => number;
	readonly optionalAddress: (section: string, key: string) => string | undefined;
	readonly optionalNumber: (section: string, key: string) => number | undefined;
};

const addressPattern = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v;
const knownKeys: Readonly<Record<string, readonly string[]>> = {
	daemon: ['name', 'host', 'availability-zone'],
	listen: ['callers', 'readiness', 'peer-port', 'metrics-port'],
	store: ['address'],
	duties: ['address', 'report-window-s', 'report-due-s'],
	limits: ['memory-mb', 'link-mbps', 'max-descriptors'],
	bounds: ['retry-ratio', 'retry-slack', 'retry-window-s', 'grace-s', 'contact-ms', 'drain-ms', 'config-apply-ms', 'lease-ms'],
};
const millisecondsPerSecond = 1000;
const defaultReportDueS = 10;

/** Parses settings; reports all findings at once. */
export function parseFleetSettings(text: string, file: string): Either<readonly Finding[], FleetSettings> {
	const {sections, findings: syntaxFindings} = parseIniDocument(text, file);
	const findings = [...syntaxFindings, ...findUnknown(sections, file)];
	const reader = createReader(sections, file, finding => {
		findings.push(finding);
	});
	const dutiesAddress = reader.optionalAddress('duties', 'address');
	const reportWindowS = reader.optionalNumber('duties', 'report-window-s');
	const reportDueS = reader.optionalNumber('duties', 'report-due-s');
	const settings: FleetSettings = {
		daemon: {
			name: reader.text('daemon', 'name'),
			host: reader.text('daemon', 'host'),
			availabilityZone: reader.text('daemon', 'availability-zone'),
		},
		listen: {
			callers: reader.address('listen', 'callers'),
			readiness: reader.address('listen', 'readiness'),
			peerPort: reader.number('listen', 'peer-port'),
			metricsPort: reader.number('listen', 'metrics-port'),
		},
		store: {address: reader.address('store', 'address')},
		duties: dutiesAddress === undefined
			? undefined
			: {
				address: dutiesAddress,
				reportWindowMs: reportWindowS === undefined || reportWindowS === 0 ? undefined : reportWindowS * millisecondsPerSecond,
				reportDueMs: (reportDueS ?? defaultReportDueS) * millisecondsPerSecond,
			},
		limits: {
			memoryMb: reader.number('limits', 'memory-mb'),
			linkMbps: reader.number('limits', 'link-mbps'),
			maxDescriptors: reader.optionalNumber('limits', 'max-descriptors'),
		},
		bounds: {
			retryRatio: reader.number('bounds', 'retry-ratio'),
			retrySlack: reader.number('bounds', 'retry-slack'),
			retryWindowMs: reader.number('bounds', 'retry-window-s') * millisecondsPerSecond,
			graceMs: reader.number('bounds', 'grace-s') * millisecondsPerSecond,
			contactMs: reader.number('bounds', 'contact-ms'),
			drainMs: reader.number('bounds', 'drain-ms'),
			configApplyMs: reader.number('bounds', 'config-apply-ms'),
			leaseMs: reader.number('bounds', 'lease-ms'),
		},
	};
	return findings.length === 0 ? Right(settings) : Left(findings);
}

function findUnknown(sections: readonly IniSection[], file: string): readonly Finding[] {
	return sections.flatMap(({name, line, entries}) => {
		const keys = knownKeys[name];
		return keys === undefined
			? [{file, line, message: `unknown section "${name}"`}]
			: entries.filter(({key}) => !keys.includes(key)).map(entry => ({file, line: entry.line, message: `unknown key "${entry.key}" in section "${name}"`}));
	});
}

function createReader(sections: readonly IniSection[], file: string, report: (finding: Finding) => void): SettingsReader {
	const findOptional = (section: string, key: string) => {
		const entry = sections.find(({name}) => name === section)?.entries.find(other => other.key === key);
		return entry?.value === '' ? undefined : entry;
	};

	const find = (section: string, key: string) => {
		const found = sections.find(({name}) => name === section);
		const entry = findOptional(section, key);
		if (entry === undefined) {
			const line = found?.entries.find(other => other.key === key)?.line ?? found?.line ?? 1;
			report({file, line, message: `key "${key}" is missing in section "${section}"`});
		}

		return entry;
	};

	const checkAddress = (key: string, entry: IniEntry | undefined) => {
		if (entry !== undefined && !addressPattern.test(entry.value)) {
			report({file, line: entry.line, message: `"${key}" must be IP:PORT`});
		}

		return entry?.value;
	};

	const checkNumber = (key: string, entry: IniEntry | undefined) => {
		const value = Number(entry?.value ?? 0);
		if (!Number.isFinite(value) || value < 0) {
			report({file, line: entry?.line ?? 1, message: `"${key}" must be a number that is not negative`});
		}

		return entry === undefined ? undefined : value;
	};

	return {
		text: (section, key) => find(section, key)?.value ?? '',
		address: (section, key) => checkAddress(key, find(section, key)) ?? '',
		number: (section, key) => checkNumber(key, find(section, key)) ?? 0,
		optionalAddress: (section, key) => checkAddress(key, findOptional(section, key)),
		optionalNumber: (section, key) => checkNumber(key, findOptional(section, key)),
	};
}
