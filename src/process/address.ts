/** IP and port of a socket. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** Parses `IP:PORT`; the caller has validated the text. */
export function parseAddress(text: string): Address {
	const split = text.lastIndexOf(':');
	return {host: text.slice(0, split), port: Number(text.slice(split + 1))};
}
