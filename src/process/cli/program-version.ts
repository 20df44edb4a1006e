import {readFileSync} from 'node:fs';

/** Version and commit date, which the build of the executable inserts. */
declare const builtVersion: string | undefined;

/** Returns the version of the program; the built executable adds the date of its commit. */
export function programVersion(): string {
	return typeof builtVersion === 'string' ? builtVersion : readPackageVersion();
}

function readPackageVersion(): string {
	const {version} = JSON.parse(readFileSync(new URL('../../../package.json', import.meta.url), 'utf8')) as {readonly version: string};
	return version;
}
