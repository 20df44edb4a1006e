import {parse as parseIniText} from 'ini';
import type {Finding} from './finding.ts';

/** One key of a section with its value. */
export type IniEntry = {
	readonly key: string;
	readonly value: string;
	readonly line: number;
};

/** One section with its entries in file order. */
export type IniSection = {
	readonly name: string;
	readonly line: number;
	readonly entries: readonly IniEntry[];
};

/** Parsed INI file with the line numbers of its sections and entries. */
export type IniDocument = {
	readonly file: string;
	readonly sections: readonly IniSection[];
	readonly findings: readonly Finding[];
};

type MutableIniSection = {name: string; line: number; entries: IniEntry[]};

/** Parses INI text; malformed lines and duplicates are reported as findings, and the rest is kept. */
export function parseIniDocument(text: string, file: string): IniDocument {
	const sections: MutableIniSection[] = [];
	const findings: Finding[] = [];
	let current: MutableIniSection | undefined;
	for (const [index, raw] of text.split(/\r?\n/v).entries()) {
		const line = index + 1;
		const content = raw.trim();
		if (content === '' || content.startsWith(';') || content.startsWith('#')) {
			continue;
		}

		if (content.startsWith('[')) {
			current = openSection(content, line, sections, finding => {
				findings.push({file, ...finding});
			});
			continue;
		}

		const entry = parseEntry(content, line);
		if (entry === undefined) {
			findings.push({file, line, message: 'expected "key = value" or "[section]"'});
		} else if (current === undefined) {
			findings.push({file, line, message: `key "${entry.key}" appears before the first section`});
		} else if (current.entries.some(other => other.key === entry.key)) {
			findings.push({file, line, message: `duplicate key "${entry.key}" in section "${current.name}"`});
		} else {
			current.entries.push(entry);
		}
	}

	return {file, sections, findings};
}

function openSection(
	content: string,
	line: number,
	sections: MutableIniSection[],
	report: (finding: {line: number; message: string}) => void,
): MutableIniSection {
	const name = content.endsWith(']') ? content.slice(1, -1).trim() : '';
	if (name === '') {
		report({line, message: 'malformed section header'});
	} else if (sections.some(section => section.name === name)) {
		report({line, message: `duplicate section "${name}"`});
	}

	const section = {name, line, entries: []};
	sections.push(section);
	return section;
}

function parseEntry(content: string, line: number): IniEntry | undefined {
	const separator = content.indexOf('=');
	if (separator < 1) {
		return undefined;
	}

	const key = content.slice(0, separator).trim();
	// The library handles quotes, escapes and trailing comments of a single value.
	const {value} = parseIniText(`value=${content.slice(separator + 1)}`) as {value?: string};
	return {key, value: String(value ?? ''), line};
}
