/** Entry of a lock file that may be bound to an operating system and a processor. */
type LockedPackage = {
	readonly version: string;
	readonly os?: string | readonly string[];
	readonly cpu?: string | readonly string[];
};

/** The parts of a lock file of npm that are read here. */
export type LockFile = {
	readonly packages: Readonly<Record<string, LockedPackage>>;
};

const twins = new Map([['x64', 'arm64'], ['arm64', 'x64']]);
const processorName = /x86[_\-]64|x64|amd64|aarch64|arm64/gv;

/** Returns the paths of the packages for Linux on x64 or arm64 that lack the same version for the other processor. */
export function findMissingTwins(lockFile: LockFile): readonly string[] {
	const native = Object.entries(lockFile.packages)
		.filter(([, locked]) => runsOnLinux(locked))
		.flatMap(([path, locked]) => toArray(locked.cpu).map(processor => ({path, processor, version: locked.version})));
	const known = new Set(native.map(({path, processor, version}) => describe(path, processor, version)));
	return native
		.filter(({path, processor, version}) => {
			const twin = twins.get(processor);
			return twin !== undefined && !known.has(describe(path, twin, version));
		})
		.map(({path}) => path);
}

function runsOnLinux(locked: LockedPackage): boolean {
	return locked.os === undefined || toArray(locked.os).includes('linux');
}

function describe(path: string, processor: string, version: string): string {
	return `${path.replaceAll(processorName, '*')} ${processor} ${version}`;
}

function toArray(value: string | readonly string[] | undefined): readonly string[] {
	return value === undefined ? [] : [value].flat();
}
