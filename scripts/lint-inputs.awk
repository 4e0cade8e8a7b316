# Prints, for each .cc file, its name and the hashes of all that its check reads: the
# rules, the file, and the project headers that it includes, directly or not.
# Input: lines of sha256sum ("HASH  FILE"), then lines of grep -H ('FILE:#include "NAME"').

# The project file that an include of NAME in FILE names; empty if there is none.
function resolve(file, name,    folder, i) {
    folder = file
    sub(/[^\/]*$/, "", folder)
    if ((folder name) in hashes)
        return folder name
    for (i = 1; i <= roots; ++i)
        if ((root[i] name) in hashes)
            return root[i] name
    return ""
}

# Adds the hashes of all that FILE includes, once each, to the global text.
function collect(file,    i, n, parts) {
    if (file in seen)
        return
    seen[file] = 1
    text = text " " hashes[file]
    n = split(includes[file], parts, "\n")
    for (i = 2; i <= n; ++i)
        collect(parts[i])
}

BEGIN {
    root[1] = "include/"
    root[2] = "src/"
    root[3] = ""
    roots = 3
}

/^[0-9a-f]+  / {
    hashes[$2] = $1
    next
}

{
    file = substr($0, 1, index($0, ":") - 1)
    split($0, quoted, "\"")
    name = resolve(file, quoted[2])
    if (name != "")
        includes[file] = includes[file] "\n" name
}

END {
    for (file in hashes) {
        if (file !~ /\.cc$/)
            continue
        split("", seen)
        text = " " hashes[".clang-tidy"]
        collect(file)
        print file text
    }
}
