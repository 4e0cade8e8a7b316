// The file is only a convenient form: its objects are published one by one, so
// that operators who change different objects don't collide.

#include "config/deployment.h"

#include "config/document.h"
#include "config/object_reader.h"

namespace mimosahub
{

Checked<ObjectMap> parseDeployment(std::string_view file, std::string_view text)
{
    const auto document = parseDocument(file, text);
    if (!document.ok()) {
        return Checked<ObjectMap>(document.problems());
    }
    std::vector<Problem> problems;
    ObjectMap objects;
    ObjectReader reader(document.value(), {std::string(file), ""}, problems);
    for (const auto kind : kObjectKinds) {
        const auto add = [&](std::string_view name, const boost::json::value &spec, const Place & /*place*/) {
            objects.emplace(ObjectKey{kind, std::string(name)}, spec);
        };
        reader.members(groupName(kind), add);
    }
    reader.finish();
    (void)buildConfiguration(objects, problems, file);
    return {std::move(objects), std::move(problems)};
}

} // namespace mimosahub
