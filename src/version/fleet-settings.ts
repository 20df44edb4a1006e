import {Left, Right, type Either} from 'purify-ts';
import type {Finding} from './finding.ts';
import {parseIniDocument, type IniSection} from './ini-document.ts';

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
	readonly limits: {
		readonly memoryMb: number;
		/** Bandwidth of the host's link in megabits a second. */
		readonly linkMbps: number;
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
};

const addressPattern = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v;
const knownKeys: Readonly<Record<string, readonly string[]>> = {
	daemon: ['name', 'host', 'availability-zone'],
	listen: ['callers', 'readiness', 'peer-port', 'metrics-port'],
	store: ['address'],
	limits: ['memory-mb', 'link-mbps'],
	bounds: ['retry-ratio', 'retry-slack', 'retry-window-s', 'grace-s', 'contact-ms', 'drain-ms', 'config-apply-ms', 'lease-ms'],
};
const millisecondsPerSecond = 1000;

/** Parses settings; reports all findings at once. */
export function parseFleetSettings(text: string, file: string): Either<readonly Finding[], FleetSettings> {
	const {sections, findings: syntaxFindings} = parseIniDocument(text, file);
	const findings = [...syntaxFindings, ...findUnknown(sections, file)];
	const reader = createReader(sections, file, finding => {
		findings.push(finding);
	});
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
		limits: {memoryMb: reader.number('limits', 'memory-mb'), linkMbps: reader.number('limits', 'link-mbps')},
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
	const find = (section: string, key: string) => {
		const found = sections.find(({name}) => name === section);
		const entry = found?.entries.find(other => other.key === key);
		if (entry === undefined || entry.value === '') {
			report({file, line: entry?.line ?? found?.line ?? 1, message: `key "${key}" is missing in section "${section}"`});
			return undefined;
		}

		return entry;
	};

	return {
		text: (section, key) => find(section, key)?.value ?? '',
		address(section, key) {
			const entry = find(section, key);
			if (entry !== undefined && !addressPattern.test(entry.value)) {
				report({file, line: entry.line, message: `"${key}" must be IP:PORT`});
			}

			return entry?.value ?? '';
		},
		number(section, key) {
			const entry = find(section, key);
			const value = Number(entry?.value ?? 0);
			if (!Number.isFinite(value) || value < 0) {
				report({file, line: entry?.line ?? 1, message: `"${key}" must be a number that is not negative`});
			}

			return value;
		},
	};
}
