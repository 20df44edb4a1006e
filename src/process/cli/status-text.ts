const indent = '  ';

/** Formats a status as readable text, with a heading per section and a line per entry. */
export function formatStatus(status: Readonly<Record<string, unknown>>): string {
	return Object.entries(status).flatMap(([name, section]) => [name, ...formatSection(section, indent)]).join('\n');
}

function formatSection(value: unknown, prefix: string): readonly string[] {
	if (Array.isArray(value)) {
		return value.length === 0 ? [`${prefix}none`] : value.map(item => prefix + formatEntry(item));
	}

	if (value === null || typeof value !== 'object') {
		return [prefix + String(value)];
	}

	return Object.entries(value).flatMap(([key, item]) => item !== null && typeof item === 'object'
		? [`${prefix}${key}`, ...formatSection(item, prefix + indent)]
		: [`${prefix}${key}: ${String(item)}`]);
}

function formatEntry(item: unknown): string {
	return item === null || typeof item !== 'object'
		? String(item)
		: Object.entries(item).map(([key, value]) => `${key}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`).join(' ');
}
