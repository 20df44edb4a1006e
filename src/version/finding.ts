/** Error found in a file, with its location. */
export type Finding = {
	readonly file: string;
	/** Line number, starting at 1. */
	readonly line: number;
	readonly message: string;
};

/** Formats a finding as `FILE:LINE: message`. */
export function formatFinding(finding: Finding): string {
	return `${finding.file}:${finding.line}: ${finding.message}`;
}
