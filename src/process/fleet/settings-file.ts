import {readFile} from 'node:fs/promises';

/** Settings file of the process, with the text that was read last. */
export class SettingsFile {
	readonly path: string;
	#text: string | undefined;

	constructor(path: string) {
		this.path = path;
	}

	/** Reads the file. */
	async read(): Promise<string> {
		return readFile(this.path, 'utf8');
	}

	/** True if the text differs from what was read last. */
	hasChanged(text: string): boolean {
		return text !== this.#text;
	}

	/** Records the text as read. */
	remember(text: string): void {
		this.#text = text;
	}
}
