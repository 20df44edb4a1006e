/** IP and port of a socket. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** Parses `IP:PORT`; the text must be valid. */
export function parseAddress(text: string): Address {
	const separator = text.lastIndexOf(':');
	return {host: text.slice(0, separator), port: Number(text.slice(separator + 1))};
}
